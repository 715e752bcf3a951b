import {
  type CallDetector, createCallDetector, createEntranceGate,
} from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createEntrance, type RequestSender } from '../gateway/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

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

  kernel.register<RequestSender>({
    name: 'entrance',
    needs: ['clock', 'logger', 'attempts'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const logger = find<Logger>('logger').forComponent('routing');
      const gate = createEntranceGate({
        clock,
        onChange: (service, isHoldingBack) => logger.info({ service }, isHoldingBack
          ? 'holding back requests: the service has no room for all'
          : 'no longer holding back requests'),
      });
      return { service: createEntrance({ clock, gate, sender: find<RequestSender>('attempts') }) };
    },
  });
};
