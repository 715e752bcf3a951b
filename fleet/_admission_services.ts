import { type CallDetector, createCallDetector } from '../admission/mod.ts';
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
    needs: ['clock', 'attempts'],
    start: (find) => ({
      service: createEntrance({
        clock: find<Clock>('clock'), sender: find<RequestSender>('attempts'),
      }),
    }),
  });
};
