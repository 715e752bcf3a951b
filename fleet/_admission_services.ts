import {
  type CallDetector, type CallFailures, createCallDetector, createCallFailures, createEntranceGate,
  type EntranceGate,
} from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createEntrance, type RequestSender } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';

/** Registers the services that decide which requests get the capacity. */
export const registerAdmissionServices = (kernel: Kernel) => {
  kernel.register<CallDetector>({
    name: 'call-detector',
    needs: ['clock', 'logger'],
    start: (find) => {
      const logger = find<Logger>('logger').forComponent('caller');
      return {
        service: createCallDetector({
          clock: find<Clock>('clock'),
          onRouteChange: (route, isCallRoute) => logger.info({ route }, isCallRoute
            ? 'only the instance of this host sends requests of this route'
            : 'callers send requests of this route too'),
        }),
      };
    },
  });

  kernel.register<CallFailures>({
    name: 'call-failures',
    needs: ['clock', 'metrics'],
    start: (find) => {
      const service = createCallFailures(find<Clock>('clock'));
      const help = 'Fraction of the nested calls of the local instance that find no room';
      find<NodeMetrics>('metrics').observe('call_failures', help, service.fraction);
      return { service };
    },
  });

  kernel.register<EntranceGate>({
    name: 'entrance-gate',
    needs: ['clock', 'logger'],
    start: (find) => {
      const logger = find<Logger>('logger').forComponent('routing');
      const service = createEntranceGate({
        clock: find<Clock>('clock'),
        onChange: (name, isHoldingBack) => logger.info({ service: name }, isHoldingBack
          ? 'holding back requests: the service has no room for all'
          : 'no longer holding back requests'),
      });
      return { service };
    },
  });

  kernel.register<RequestSender>({
    name: 'entrance',
    needs: ['clock', 'attempts', 'entrance-gate', 'call-failures'],
    start: (find) => ({
      service: createEntrance({
        clock: find<Clock>('clock'),
        sender: find<RequestSender>('attempts'),
        gate: find<EntranceGate>('entrance-gate'),
        callFailures: find<CallFailures>('call-failures'),
      }),
    }),
  });
};
