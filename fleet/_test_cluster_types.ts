import type { FakeClock } from '../clock/mod.ts';
import type { Announcement, AnnouncementAnswer } from '../ranges/mod.ts';
import type { MemoryLeasedStore } from '../store/mod.ts';
import type { createEvacuator } from './_test_evacuation.ts';
import type { TestInstance } from './_test_instance.ts';
import type { WriteCounts } from './_test_store.ts';

/** A simulated host: a node and its instance. */
export interface TestHost {
  readonly node: string;
  readonly instance: () => TestInstance;
  /** Kills the node; the instance keeps running. */
  readonly killNode: () => void;
  readonly startNode: () => void;
  /** Kills the instance; its address refuses connections afterwards. */
  readonly killInstance: () => void;
  readonly startInstance: () => void;
  readonly drain: () => void;
  /**
   * Makes the instance deregister and close its listener; its process ends once it has finished a
   * request of its node, which takes `workMs`. It may go on to announce itself until then.
   */
  readonly stopInOrder: (workMs: number, isSilent: boolean) => void;
  /** Partitions the node from the store, or ends the partition. */
  readonly setStorePartitioned: (isPartitioned: boolean) => void;
  /** Changes the host's address from the next start of its node on. */
  readonly changeAddress: (peerAddress: string) => void;
  /** Delivers an announcement of another writer to the node. */
  readonly announce: (announcement: Announcement) => AnnouncementAnswer | undefined;
  /** Drops the announcements of the instance, or delivers them again. */
  readonly setAnnouncementsDropped: (isDropped: boolean) => void;
}

/** Options of simulated hosts. */
export interface TestClusterOptions {
  /** Number of failure domains, `d0` and so on, over which the hosts are spread in turn. */
  readonly failureDomains?: number;
  /** Time in ms that a call to the store takes each way. */
  readonly storeDelayMs?: number;
  /** Era of the store; it has no eras by default. */
  readonly era?: number;
}

/** Simulated hosts that share one store, with a check that no key has two holders. */
export interface TestCluster {
  readonly clock: FakeClock;
  readonly store: MemoryLeasedStore;
  readonly hosts: readonly TestHost[];
  /** Advances the time in steps; throws when two instances hold the same key. */
  readonly run: (durationMs: number) => Promise<void>;
  /** Kills all nodes. */
  readonly stop: () => void;
  /** Fraction of the keys that are held by an instance. */
  readonly heldFraction: () => number;
  /** Begins or ends evacuations, as an operator does. */
  readonly setEvacuated: ReturnType<typeof createEvacuator>;
  /** Numbers of transactions that took effect and that met a conflict. */
  readonly writes: () => WriteCounts;
}
