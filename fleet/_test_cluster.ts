import { createFakeClock, type FakeClock } from '../clock/mod.ts';
import {
  createDepartureLog, createFleetView, createNodeRegistration, createStoreView, type NodeEntry,
  KEY_PREFIX,
} from '../directory/mod.ts';
import {
  type Announcement,
  type AnnouncementAnswer,
  createEraRight,
  createGrantTracker,
  createRightToGrant,
  overlaps,
  RIGHT_TO_GRANT_MS,
} from '../ranges/mod.ts';
import {
  createMemoryLeasedStore, createStoreEras, type EraReportingStore, followEras,
  type MemoryLeasedStore,
} from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEraRecovery, type EraRecovery } from './era_recovery.ts';
import { createInstanceRegistry } from './instance_registry.ts';
import { createRangeController, grantableMs } from './range_controller.ts';
import { lostAfterMs } from './_range_planner.ts';
import { createEvacuator, createTestRules } from './_test_evacuation.ts';
import type { TestCluster, TestClusterOptions, TestHost } from './_test_cluster_types.ts';
import { createHostInstances } from './_test_host_instances.ts';
import { countWrites, createTestHostStore } from './_test_store.ts';

export type { TestCluster, TestClusterOptions, TestHost } from './_test_cluster_types.ts';

export const MAX_HOLD_MS = 10_000;
const ANNOUNCE_INTERVAL_MS = 870;
/** Longest time in ms for which an instance works on a request. */
export const LONGEST_WORK_MS = 1500;
const STEP_MS = 50;
const RECONCILE_STEPS = 4;
const TOTAL_KEYS = 65_536;

interface RunningNode {
  readonly stop: () => void;
  readonly reconcile: () => void;
  readonly probe: () => void;
  readonly announce: (announcement: Announcement) => AnnouncementAnswer | undefined;
  readonly leave: (instance: string, startedAt: number) => void;
}

const createHost = (
  clock: FakeClock,
  shared: EraReportingStore,
  unavailableStore: MemoryLeasedStore,
  index: number,
  { failureDomains = 1, storeDelayMs = 0 }: TestClusterOptions,
) => {
  const node = `host-${String(index).padStart(failureDomains > 1 ? 2 : 1, '0')}`;
  const failureDomain = `d${index % failureDomains}`;
  let peerAddress = `${node}:2`;
  let isStorePartitioned = false;
  let areAnnouncementsDropped = false;
  let running: RunningNode | undefined;
  const instances = createHostInstances(clock, index, (announcement) => (
    areAnnouncementsDropped ? undefined : running?.announce(announcement)
  ));

  const startNode = () => {
    let self: RunningNode | undefined;
    const stopping = new AbortController();
    const eras = createStoreEras(clock);
    const store = followEras(createTestHostStore({
      clock,
      shared,
      unavailableStore,
      isUnavailable: () => isStorePartitioned || stopping.signal.aborted,
      delayMs: storeDelayMs,
    }), eras);
    const { operatorView, rules } = createTestRules(clock, store, failureDomain);
    const view = createStoreView({
      clock, store, prefix: KEY_PREFIX, logger: noopLogger, era: eras.current,
    });
    eras.onRise(view.restartWatch);
    const fleet = createFleetView({ clock, view });
    const right = createEraRight(createRightToGrant(clock, RIGHT_TO_GRANT_MS), eras);
    const departureLog = createDepartureLog({
      clock, store, node, logger: noopLogger, eras,
    });
    const registry = createInstanceRegistry({
      departureLog,
      clock,
      node,
      logger: noopLogger,
      instanceAddress: `${node}:1`,
      announceIntervalMs: ANNOUNCE_INTERVAL_MS,
      drainMs: 2000,
      isKnownService: (service) => service === 'ledger',
      openPort: ({ startedAt: born }) => ({
        send: async () => ({ kind: 'failed', status: 500 }),
        hasUnfinishedWork: () => instances.isAtWork(born, self),
        close: () => undefined,
      }),
      isConnectionRefused: async () => instances.current() === undefined,
      longestWorkMs: () => LONGEST_WORK_MS,
    });
    const startedAt = clock.wallTime();
    let recovery: EraRecovery | undefined;
    const entry = (): NodeEntry => ({
      node,
      startedAt,
      peerAddress,
      region: 'r',
      failureDomain,
      isStopping: false,
      instance: registry.describe(),
      storeEra: recovery?.declaration(),
    });
    const own = createNodeRegistration({
      clock,
      store,
      logger: noopLogger,
      right,
      entry: entry(),
      view,
      eras,
      onFormerEntry: ({ instance: former }) => {
        if (former !== undefined) registry.restore(former);
      },
    });
    registry.onChange(() => own.update(entry()));
    recovery = createEraRecovery({
      clock,
      store,
      eras,
      right,
      view,
      fleet,
      logger: noopLogger,
      grantableMs: () => grantableMs(right, own, view),
      waitMs: lostAfterMs(RIGHT_TO_GRANT_MS),
      isFirstStart: false,
      isLocal: (service) => registry.local()?.service === service,
      onDeclaration: () => own.update(entry()),
    });
    const controller = createRangeController({
      recovery,
      clock,
      node,
      store,
      view,
      fleet,
      registry,
      grantTracker: createGrantTracker({ clock, node, maxHoldMs: MAX_HOLD_MS }),
      grantableMs: () => grantableMs(right, own, view),
      logger: noopLogger,
      isKeyed: () => true,
      keyedServices: () => ['ledger'],
      namesService: (service) => service === 'ledger',
      loadSnapshotOf: (owners) => ({
        candidates: owners.map((owner) => ({ owner, capacity: 100 })), cells: [],
      }),
      maxHoldMs: MAX_HOLD_MS,
      rightMs: RIGHT_TO_GRANT_MS,
      firstAssignmentMs: 2000,
      rules,
      isPlannerOf: (owners) => owners[0]?.node === node,
    });
    view.follow(stopping.signal);
    operatorView.follow(stopping.signal);
    own.run(stopping.signal);
    departureLog.run(stopping.signal);
    self = {
      leave: registry.leave,
      stop: () => stopping.abort(),
      reconcile: () => {
        controller.reconcile();
      },
      announce: (announcement) => (
        registry.announce(announcement) ? controller.answer(announcement) : undefined
      ),
      probe: () => {
        registry.probe();
      },
    };
    running = self;
  };

  startNode();
  instances.start();
  const host: TestHost = {
    node,
    instance: () => instances.current()!,
    killNode: () => {
      running?.stop();
      running = undefined;
    },
    startNode,
    killInstance: instances.kill,
    startInstance: instances.start,
    drain: () => instances.current()?.drain(),
    stopInOrder: (workMs, isSilent) => {
      const instance = instances.current();
      if (instance === undefined) return;
      running?.leave(instance.name, instance.startedAt);
      // Without a node, nobody has sent it a request.
      instances.finish({
        workMs: running === undefined ? 0 : workMs, isSilent, sender: running,
      });
    },
    setStorePartitioned: (isPartitioned) => {
      isStorePartitioned = isPartitioned;
    },
    changeAddress: (address) => {
      peerAddress = address;
    },
    announce: (announcement) => running?.announce(announcement),
    setAnnouncementsDropped: (isDropped) => {
      areAnnouncementsDropped = isDropped;
    },
  };
  const step = (count: number) => {
    const isDue = (count * STEP_MS + index * 130) % ANNOUNCE_INTERVAL_MS < STEP_MS;
    instances.endFinished();
    if (isDue) instances.announce();
    // A node also reconciles after each announcement, whose releases it writes.
    if (isDue || count % RECONCILE_STEPS === 0) running?.reconcile();
    if (count % RECONCILE_STEPS === 1) running?.probe();
  };
  return { host, step, holders: instances.all };
};

/** Starts hosts with one node and one instance each. */
export const createTestCluster = (
  count: number,
  options: TestClusterOptions = {},
): TestCluster => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  if (options.era !== undefined) store.setEra(options.era);
  const { counted, writes } = countWrites(store);
  const unavailableStore = createMemoryLeasedStore(clock);
  unavailableStore.faults.failWith = 'unavailable';
  const hosts = Array.from({ length: count }, (_, index) => (
    createHost(clock, counted, unavailableStore, index, options)
  ));
  let steps = 0;

  const checkHolders = () => {
    const all = hosts.flatMap(({ holders }) => holders()).flatMap(({ name, held }) => (
      held().map((range) => ({ range, name }))
    ));
    for (const [index, left] of all.entries()) {
      for (const right of all.slice(index + 1)) {
        if (left.name !== right.name && overlaps(left.range, right.range)) {
          const keys = `${left.range.from}-${left.range.to}`;
          throw new Error(`${left.name} and ${right.name} hold ${keys} at ${clock.now()} ms`);
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
    heldFraction: () => hosts
      .flatMap(({ holders }) => holders())
      .flatMap(({ held }) => held())
      .reduce((sum, { from, to }) => sum + to - from + 1, 0) / TOTAL_KEYS,
    setEvacuated: createEvacuator(store),
    writes,
  };
};
