import type { Clock } from '../clock/mod.ts';
import type { DepartureLog } from '../directory/mod.ts';
import type { Announcement } from '../ranges/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createInstanceRegistry, type InstanceRegistryOptions } from './instance_registry.ts';

export const TEST_DRAIN_MS = 2000;

/** An announcement of the instance next to `host-1`. */
export const testAnnouncement: Announcement = {
  instance: 'i-1',
  startedAt: 5,
  address: '10.0.0.1:1',
  service: 'ledger',
  slots: 4,
  isDraining: false,
  sequence: 1,
  coldMs: 0,
  held: [],
  released: [],
};

/** Creates the registry of `host-1`, whose instance accepts connections and fails each request. */
export const createTestRegistry = (
  clock: Clock,
  departureLog: DepartureLog,
  overrides: Partial<InstanceRegistryOptions> = {},
) => (
  createInstanceRegistry({
    clock,
    node: 'host-1',
    logger: noopLogger,
    departureLog,
    instanceAddress: '10.0.0.1:1',
    announceIntervalMs: 870,
    drainMs: TEST_DRAIN_MS,
    isKnownService: (service) => service === 'ledger',
    openPort: () => ({
      send: async () => ({ kind: 'failed', status: 500 }),
      hasUnfinishedWork: () => false,
      close: () => undefined,
    }),
    isConnectionRefused: async () => false,
    longestWorkMs: () => 1000,
    ...overrides,
  })
);
