import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { Clock, PausableClock } from '../clock/mod.ts';
import { createAnnouncements, createContracts, startOwnerService } from '../daemon/mod.ts';
import {
  createOwnership, createTakeover, createWitness, type LeaseHolder, type Ownership,
} from '../lease/mod.ts';
import { createMembership } from '../membership/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import {
  createLoadReports, createPlacements, createPlacer, type SlotOfKey,
} from '../placement/mod.ts';
import type { LocalDispatch } from '../proxy/mod.ts';
import { createRelay, type Relay } from '../relay/mod.ts';
import { callsPerSecondPerNode, createGuardedStore, type Store } from '../store/mod.ts';
import { noopLogger, noopMetrics } from '../telemetry/mod.ts';
import type { FakeUpstream } from './_fake_upstream.ts';
import type { PeerLinks } from './_memory_forwarder.ts';
import type { RecordEvent } from './history.ts';

/** Defects that a test injects into the product code to prove that a checker detects them. */
export interface InjectedDefects {
  readonly wrapHolder?: (holder: LeaseHolder, clock: Clock) => LeaseHolder;
  readonly wrapDispatch?: (dispatch: LocalDispatch) => LocalDispatch;
  readonly wrapRelay?: (relay: Relay, clock: Clock) => Relay;
  readonly wrapStore?: (store: Store) => Store;
  /** A caller retries a submission whatever the outcome was. */
  readonly retriesAllSubmissions?: boolean;
  /** A planned stop does not wait for requests in flight. */
  readonly stopsImmediately?: boolean;
  /** A planned stop does not hand over the slots of the node. */
  readonly keepsSlots?: boolean;
}

/** Dependencies and configuration of a simulated process. */
export interface ProcessOptions {
  readonly node: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly seeds: readonly string[];
  readonly clock: PausableClock;
  readonly transport: PeerTransport;
  readonly store: Store;
  readonly links: PeerLinks;
  readonly upstream: FakeUpstream;
  readonly slotOfKey: SlotOfKey;
  readonly random: RandomGenerator;
  readonly record: RecordEvent;
  /** Called when a request has passed the ownership check, with its fencing token. */
  readonly onAcquire: (key: string, token: number) => void;
  readonly defects: InjectedDefects;
}

/** Delivers results on the clock of the process, so that a paused process does not resume. */
const storeOnClock = (store: Store, clock: Clock): Store => {
  const resumeOnClock = async <T>(call: Promise<T>): Promise<T> => {
    const result = await call;
    await clock.sleep(0);
    return result;
  };
  return {
    get: (key) => resumeOnClock(store.get(key)),
    list: (prefix) => resumeOnClock(store.list(prefix)),
    compareAndSwap: (...call) => resumeOnClock(store.compareAndSwap(...call)),
    watch: (...call) => resumeOnClock(store.watch(...call)),
  };
};

const transportOnClock = (transport: PeerTransport, clock: Clock): PeerTransport => ({
  ...transport,
  request: async (...call) => {
    const result = await transport.request(...call);
    await clock.sleep(0);
    return result;
  },
});

/** Starts the components of a node that decide which node owns which keys. */
export const startControlPlane = (options: ProcessOptions) => {
  const {
    node, incarnation, clock, random, defects, slotOfKey, upstream,
  } = options;
  const uniform = () => uniformFloat64(random);
  const logger = noopLogger;
  const transport = transportOnClock(options.transport, clock);
  let nodes = () => 1;
  const store = createGuardedStore(storeOnClock(options.store, clock), {
    clock, random: uniform, callsPerSecond: () => callsPerSecondPerNode(nodes()),
  });
  const membership = createMembership({
    clock,
    logger,
    transport,
    store,
    random: uniform,
    seeds: options.seeds,
    self: {
      node,
      incarnation,
      region: 'r',
      failureDomain: options.failureDomain,
      controlAddress: node,
      peerAddress: node,
      instances: [],
    },
  });
  nodes = () => membership.members().length;
  const realRelay = createRelay({
    clock, logger, transport, store, membership, random: uniform,
  });
  const relay = defects.wrapRelay?.(realRelay, clock) ?? realRelay;
  let writerCount = 0;
  const placements = createPlacements({
    store,
    relay,
    clock,
    logger,
    random,
    createWriterId: () => {
      writerCount += 1;
      return `${node}#${incarnation}-${writerCount}`;
    },
  });
  const contracts = createContracts({ store, relay, logger });
  const announcements = createAnnouncements({ clock, logger });
  announcements.onChange(() => membership.updateInstances(announcements.instances()));
  const shared = {
    clock, transport, placements, random,
  };
  const witness = createWitness({ ...shared, node, incarnation });
  const takeover = createTakeover({ ...shared, witness });
  const ownership = createOwnership({ ...shared, takeover, slotOfKey });
  let loadOf: Parameters<typeof createPlacer>[0]['loadOf'];
  const placer = createPlacer({
    ...shared,
    membership,
    logger,
    slotOfKey,
    loadOf: (service) => loadOf?.(service),
    onDrainChange: store.setShortBackoff,
  });
  const loadReports = createLoadReports({
    ...shared, membership, slotOfKey, ownerIdOf: placer.ownerIdOf,
  });
  loadOf = loadReports.loadOf;
  const owner = startOwnerService({
    ...shared,
    logger,
    metrics: noopMetrics,
    placer,
    announcements,
    contracts,
    createGrants: () => upstream.grants,
    ownership: {
      ...ownership,
      attach: (holder, attached) => (
        ownership.attach(defects.wrapHolder?.(holder, clock) ?? holder, attached)
      ),
    },
  });
  const recordedOwnership: Ownership = {
    acquire: (service, key) => ownership.acquire(service, key).map((permit) => {
      loadReports.countRequest(service, key);
      options.onAcquire(key, permit.token);
      return permit;
    }),
  };
  return {
    uniform,
    membership,
    relay,
    placements,
    contracts,
    announcements,
    ownership,
    owner,
    recordedOwnership,
    stop: () => {
      owner.stop();
      loadReports.stop();
      placer.stop();
      ownership.stop();
      takeover.stop();
      witness.stop();
      announcements.stop();
      contracts.stop();
      placements.stop();
      relay.stop();
      membership.stop();
      transport.close();
    },
  };
};
