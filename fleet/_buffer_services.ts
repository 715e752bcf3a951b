import type { Clock } from '../clock/mod.ts';
import {
  type BodyBudget, createBodyBudget, MAX_BUFFERED_BYTES, MAX_KEPT_BODY_BYTES,
} from '../gateway/mod.ts';
import { createEgressLink, type EgressLink } from '../http/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';

/** Registers the services that bound the bytes kept for requests and responses. */
export const registerBufferServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<EgressLink>({
    name: 'link',
    needs: ['clock'],
    start: (find) => ({
      service: createEgressLink({
        clock: find<Clock>('clock'),
        megabitsPerSecond: settings.linkMegabitsPerSecond,
        maxBufferedBytes: MAX_BUFFERED_BYTES,
      }),
    }),
  });

  kernel.register<BodyBudget>({
    name: 'bodies',
    needs: [],
    start: () => ({ service: createBodyBudget(MAX_KEPT_BODY_BYTES) }),
  });
};
