import type { Clock } from '../clock/mod.ts';
import {
  type BodyBudget, createBodyBudget, createDispatchQueue, createShutdownTracker,
  type DispatchQueue, MAX_BUFFERED_BYTES, MAX_KEPT_BODY_BYTES, type ShutdownTracker,
} from '../gateway/mod.ts';
import { createEgressLink, type EgressLink } from '../http/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import {
  createGarbageCollector, createHeapGuard, type HeapGuard, type Logger, readHeapUsage,
} from '../telemetry/mod.ts';

/** Registers what the listeners for callers and for peers share: order, memory, link and stop. */
export const registerListenerServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<ShutdownTracker>({
    name: 'progress',
    needs: ['clock'],
    start: (find) => ({ service: createShutdownTracker(find<Clock>('clock')) }),
  });

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

  kernel.register<HeapGuard>({
    name: 'heap',
    needs: ['clock', 'logger'],
    start: (find) => {
      const guard = createHeapGuard({
        clock: find<Clock>('clock'),
        logger: find<Logger>('logger'),
        readHeap: readHeapUsage,
        collectGarbage: createGarbageCollector(),
      });
      return { service: guard, stop: guard.stop };
    },
  });

  kernel.register<DispatchQueue>({
    name: 'dispatch',
    needs: ['clock'],
    start: (find) => ({ service: createDispatchQueue({ clock: find<Clock>('clock') }) }),
  });
};
