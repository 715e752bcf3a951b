import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import {
  createFleetView, createOwnEntry, createStoreView, type NodeEntry, OWN_PREFIX,
} from '../directory/mod.ts';
import {
  type Announcement,
  type AnnouncementAnswer,
  createGrantLedger,
  createRightToGrant,
  overlaps,
  RIGHT_TO_GRANT_MS,
} from '../ranges/mod.ts';
import { createMemoryLeasedStore, type LeasedStore, type MemoryLeasedStore } from '../store/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { createInstanceRegistry } from './instance_registry.ts';
import { createRangeKeeper, grantableMs } from './range_keeper.ts';
import { createTestInstance, type TestInstance } from './_test_instance.ts';

/** One host: a node and its instance. */
export interface TestHost {
  readonly node: string;
  readonly instance: () => TestInstance;
  /** Ends the node; the instance runs on. */
  readonly killNode: () => void;
  readonly startNode: () => void;
  /** Ends the instance; its address refuses connections. */
  readonly killInstance: () => void;
  readonly startInstance: () => void;
  readonly drain: () => void;
  /** The store answers this node no more. */
  readonly cutStore: (isCut: boolean) => void;
  /** Gives the host another address from its next start on. */
  readonly moveTo: (peerAddress: string) => void;
  /** Announcements of the instance do not arrive. */
  readonly cutAnnouncements: (isCut: boolean) => void;
}

/** Hosts around one store, with a check that no key has two holders. */
export interface TestKeepers {
  readonly clock: FakeClock;
  readonly store: MemoryLeasedStore;
  readonly hosts: readonly TestHost[];
  /** Lets time pass in steps; throws when two instances hold a key. */
  readonly run: (durationMs: number) => Promise<void>;
  /** Ends all nodes. */
  readonly stop: () => void;
  /** Part of the keys that some instance holds. */
  readonly heldShare: () => number;
}

export const MAX_HOLD_MS = 10_000;
const ANNOUNCE_INTERVAL_MS = 870;
const STEP_MS = 50;
const RECONCILE_STEPS = 4;
const KEYS = 65_536;

const unavailable = (store: LeasedStore, isCut: () => boolean, down: LeasedStore): LeasedStore => (
  new Proxy(store, {
    get: (target, name: keyof LeasedStore) => (
      (...args: readonly never[]) => {
        const chosen = isCut() ? down : target;
        return (chosen[name] as (...values: readonly never[]) => unknown)(...args);
      }
    ),
  })
);

interface RunningNode {
  readonly stop: () => void;
  readonly reconcile: () => void;
  readonly check: () => void;
  readonly announce: (announcement: Announcement) => AnnouncementAnswer | undefined;
}

const createHost = (
  clock: FakeClock,
  shared: MemoryLeasedStore,
  down: MemoryLeasedStore,
  index: number,
) => {
  const node = `host-${index}`;
  let peerAddress = `${node}:2`;
  let isStoreCut = false;
  let areAnnouncementsCut = false;
  let starts = 0;
  let refuses = false;
  let running: RunningNode | undefined;
  let instance: TestInstance | undefined;

  const startNode = () => {
    const stopping = new AbortController();
    const store = unavailable(shared, () => isStoreCut || stopping.signal.aborted, down);
    const view = createStoreView({
      clock, store, prefix: OWN_PREFIX, logger: silentLogger,
    });
    const fleet = createFleetView({ clock, view });
    const right = createRightToGrant(clock, RIGHT_TO_GRANT_MS);
    const registry = createInstanceRegistry({
      clock,
      node,
      logger: silentLogger,
      instanceAddress: `${node}:1`,
      announceIntervalMs: ANNOUNCE_INTERVAL_MS,
      drainMs: 2000,
      openPort: () => ({
        send: async () => ({ kind: 'failed', status: 500 }), close: () => undefined,
      }),
      isRefused: async () => refuses,
    });
    const startedAt = clock.wallTime();
    const entry = (): NodeEntry => ({
      node,
      startedAt,
      peerAddress,
      region: 'r',
      failureDomain: 'd',
      isStopping: false,
      instance: registry.describe(),
    });
    const own = createOwnEntry({
      clock, store, logger: silentLogger, right, entry: entry(), onWritten: view.apply,
    });
    registry.onChange(() => own.update(entry()));
    const keeper = createRangeKeeper({
      clock,
      node,
      store,
      view,
      fleet,
      registry,
      ledger: createGrantLedger({ clock, node, maxHoldMs: MAX_HOLD_MS }),
      grantableMs: () => grantableMs(right, own, view),
      logger: silentLogger,
      isKeyed: () => true,
      keyedServices: () => ['ledger'],
      pictureOf: (owners) => ({
        candidates: owners.map((owner) => ({ owner, capacity: 100 })), cells: [],
      }),
      maxHoldMs: MAX_HOLD_MS,
      rightMs: RIGHT_TO_GRANT_MS,
      firstAssignmentMs: 2000,
    });
    view.follow(stopping.signal);
    own.keep(stopping.signal);
    running = {
      stop: () => stopping.abort(),
      reconcile: () => {
        keeper.reconcile();
      },
      announce: (announcement) => (
        registry.announce(announcement) ? keeper.answer(announcement) : undefined
      ),
      check: () => {
        registry.check();
      },
    };
  };

  const startInstance = () => {
    starts += 1;
    refuses = false;
    instance = createTestInstance({
      clock,
      name: `i-${index}-${starts}`,
      startedAt: clock.wallTime(),
      clockRate: 0.98,
      send: (announcement) => (
        areAnnouncementsCut ? undefined : running?.announce(announcement)
      ),
    });
  };

  startNode();
  startInstance();
  const host: TestHost = {
    node,
    instance: () => instance!,
    killNode: () => {
      running?.stop();
      running = undefined;
    },
    startNode,
    killInstance: () => {
      instance = undefined;
      refuses = true;
    },
    startInstance,
    drain: () => instance?.drain(),
    cutStore: (isCut) => {
      isStoreCut = isCut;
    },
    moveTo: (address) => {
      peerAddress = address;
    },
    cutAnnouncements: (isCut) => {
      areAnnouncementsCut = isCut;
    },
  };
  const step = (count: number) => {
    const isDue = (count * STEP_MS + index * 130) % ANNOUNCE_INTERVAL_MS < STEP_MS;
    if (isDue) instance?.announce();
    if (count % RECONCILE_STEPS === 0) running?.reconcile();
    if (count % RECONCILE_STEPS === 1) running?.check();
  };
  return { host, step, held: () => instance?.held() ?? [] };
};

/** Starts hosts with one instance each. */
export const createTestKeepers = (count: number): TestKeepers => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const down = createMemoryLeasedStore(clock);
  down.faults.down = 'unavailable';
  const hosts = Array.from({ length: count }, (_, index) => (
    createHost(clock, store, down, index)
  ));
  let steps = 0;

  const checkHolders = () => {
    const all = hosts.flatMap(({ host, held }) => (
      held().map((range) => ({ range, node: host.node }))
    ));
    for (const [index, left] of all.entries()) {
      for (const right of all.slice(index + 1)) {
        if (left.node !== right.node && overlaps(left.range, right.range)) {
          const keys = `${left.range.from}-${left.range.to}`;
          throw new Error(`${left.node} and ${right.node} hold ${keys} at ${clock.now()} ms`);
        }
      }
    }
  };

  return {
    clock,
    store,
    hosts: hosts.map(({ host }) => host),
    run: async (durationMs) => {
      for (let passed = 0; passed < durationMs; passed += STEP_MS) {
        for (const { step } of hosts) step(steps);
        checkHolders();
        await clock.advance(STEP_MS);
        checkHolders();
        steps += 1;
      }
    },
    stop: () => {
      for (const { host } of hosts) host.killNode();
    },
    heldShare: () => hosts
      .flatMap(({ held }) => held())
      .reduce((sum, { from, to }) => sum + to - from + 1, 0) / KEYS,
  };
};
