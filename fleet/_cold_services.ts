import { type ColdStartLimit, createColdStartLimit } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Evacuations } from '../directory/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type ColdInstance, createColdInstance } from './cold_instance.ts';
import type { ContractSource } from './contract_source.ts';

/**
 * Registers the services that limit the requests to a cold instance.
 *
 * @param kernel Kernel of the node.
 * @param settings Settings of the node.
 *
 * @example
 * registerColdServices(kernel, settings);
 */
export const registerColdServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<ColdInstance>({
    name: 'cold-instance',
    needs: ['clock', 'logger', 'contracts', 'evacuations'],
    start: (find) => ({
      service: createColdInstance({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger'),
        serviceOf: find<ContractSource>('contracts').serviceOf,
        coldExcess: settings.bounds.coldExcess,
        coldSlack: settings.bounds.coldSlack,
        evacuationEndedForMs: () => (
          find<Evacuations>('evacuations').endedForMs(settings.failureDomain)
        ),
      }),
    }),
  });

  kernel.register<ColdStartLimit>({
    name: 'cold-start-limit',
    needs: ['clock', 'cold-instance'],
    start: (find) => {
      const { isCold, maxPerSecond } = find<ColdInstance>('cold-instance');
      const clock = find<Clock>('clock');
      return { service: createColdStartLimit({ clock, isCold, maxPerSecond }) };
    },
  });
};
