import type { Clock } from '../clock/mod.ts';
import {
  createInstanceClient, createResponseSilence, type ResponseSilence,
} from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import { platformHeaders } from '../platform/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { ColdInstance } from './cold_instance.ts';
import type { InstanceRegistryOptions } from './instance_registry.ts';

/** Connections in addition to one per slot, to replace those that are closing. */
const SPARE_CONNECTIONS = 4;

/** Registers the service that finds silent connections to the instance. */
export const registerResponseSilence = (kernel: Kernel) => {
  kernel.register<ResponseSilence>({
    name: 'response-silence',
    needs: ['clock', 'logger'],
    start: (find) => {
      const clock = find<Clock>('clock');
      return { service: createResponseSilence({ clock, logger: find<Logger>('logger') }) };
    },
  });
};

/**
 * Creates the function by which the registry opens connections to a process of the instance.
 *
 * @param clock Clock.
 * @param cold Learns of refused and lost connections.
 * @param silence Learns from the responses; it forgets those of earlier processes.
 * @returns The function.
 *
 * @example
 * const openPort = createPortOpener(clock, cold, silence);
 */
export const createPortOpener = (
  clock: Clock,
  cold: ColdInstance,
  silence: ResponseSilence,
): InstanceRegistryOptions['openPort'] => (announcement, onConnectionRefused) => {
  const { startedAt } = announcement;
  silence.reset();
  return createInstanceClient({
    clock,
    address: announcement.address,
    instance: announcement.instance,
    connections: announcement.slots + SPARE_CONNECTIONS,
    headers: platformHeaders,
    silence,
    onConnectionRefused: () => {
      cold.recordDoubt('its address refused a connection', startedAt);
      onConnectionRefused();
    },
    onConnectionsLost: () => cold.recordDoubt('its connections were closed', startedAt),
  });
};
