import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createFakeClock, createPausableClock, type PausableClock } from '../clock/mod.ts';
import { createFakeNetwork, type PeerTransport } from '../peer/mod.ts';
import {
  addOwner, createPlacements, createRecord, type Owner, type OwnerId, type PlacementChange,
  type Placements, type WitnessReference,
} from '../placement/mod.ts';
import { createMemoryStore, type StoreEntry } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createPartitionableStore, createTestRelay } from './_test_relay.ts';
import {
  createLeaseHolder, createOwnership, createTakeover, createWitness, type LeaseHolder,
  type NodeOwnership, type OwnershipPermit, type UpstreamGrants,
} from './mod.ts';

export const SERVICE = 'ledger';
export const SLOT_COUNT = 16;
const STEP_MS = 10;
const RELAY_DELAY_MS = 3;

/** With 13 nodes, any two nodes are together witnesses of at most one owner. */
const WITNESS_OFFSETS = [1, 3, 9];

/** One process of a node; a restart of the node creates a new one. */
export interface TestProcess {
  readonly node: string;
  readonly id: OwnerId;
  readonly clock: PausableClock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly ownership: NodeOwnership;
  readonly holder: () => LeaseHolder;
  readonly join: () => Promise<void>;
  readonly deliver: (entry: StoreEntry) => void;
  isFrozen: boolean;
}

/** Options of the cluster. A test injects a fault by `wrapHolder` to verify the overlap check. */
export interface ClusterOptions {
  readonly nodes?: number;
  readonly grants?: UpstreamGrants;
  readonly wrapHolder?: (holder: LeaseHolder) => LeaseHolder;
}

const slotOfKey = (key: string, slotCount: number) => Number(key.slice(1)) % slotCount;

export const KEYS = Array.from({ length: SLOT_COUNT }, (_, slot) => `k${slot}`);

/** Starts a fleet on one fake clock, network and store, in which every node owns some slots. */
export const createCluster = async (options: ClusterOptions = {}) => {
  const base = createFakeClock();
  const network = createFakeNetwork(base);
  const store = createMemoryStore(base);
  store.setDelay(2);
  const processes = new Map<string, TestProcess>();
  const cuts = new Set<string>();
  const held = new Set<{ process: TestProcess; key: string; permit: OwnershipPermit }>();
  let sequence = 0;

  const witnessesOf = (node: string): readonly WitnessReference[] => {
    const names = [...processes.keys()];
    return WITNESS_OFFSETS.map((offset) => {
      const name = names[(names.indexOf(node) + offset) % names.length] ?? '';
      return { id: processes.get(name)?.id ?? '', controlAddress: name, failureDomain: name };
    });
  };

  const createOwner = (node: string, id: OwnerId): Owner => ({
    id,
    node,
    incarnation: id.slice(node.length + 1),
    instance: `${node}-instance`,
    controlAddress: node,
    peerAddress: node,
    region: 'r',
    failureDomain: node,
    weight: 1,
    witnesses: witnessesOf(node),
    previousWitnesses: [],
    state: 'active',
  });

  /** Starts a process on a node, in place of the former process. */
  const start = (node: string): TestProcess => {
    sequence += 1;
    const incarnation = `${sequence}`;
    const clock = createPausableClock(base);
    const random = xoroshiro128plus(sequence);
    const transport = network.connect(node, { node, incarnation });
    const reachableStore = createPartitionableStore(store, () => cuts.has(`store ${node}`));
    const { relay, accept } = createTestRelay(reachableStore, clock, (entry) => {
      for (const other of processes.values()) {
        if (other.node === node || cuts.has(`${node} ${other.node}`)) continue;
        base.schedule(RELAY_DELAY_MS, () => other.deliver(entry));
      }
    });
    let writeCount = 0;
    const placements = createPlacements({
      store: reachableStore,
      relay,
      clock,
      random,
      logger: noopLogger,
      createWriterId: () => {
        writeCount += 1;
        return `${node}#${incarnation}-${writeCount}`;
      },
    });
    const shared = {
      clock, transport, placements, random,
    };
    const witness = createWitness({ ...shared, node, incarnation });
    const takeover = createTakeover({ ...shared, witness });
    const ownership = createOwnership({ ...shared, takeover, slotOfKey });
    let joins = 0;
    let holder: LeaseHolder | undefined;

    const join = async () => {
      joins += 1;
      const ownerId = joins === 1 ? `${node}#${incarnation}` : `${node}#${incarnation}.${joins}`;
      const created = createLeaseHolder({
        ...shared,
        service: SERVICE,
        ownerId,
        onRemoved: () => {
          join();
        },
      });
      holder = options.wrapHolder?.(created) ?? created;
      ownership.attach(holder, { instance: `${node}-instance`, grants: options.grants });
      const add: PlacementChange = (record) => (
        addOwner(record ?? createRecord(SERVICE, SLOT_COUNT), createOwner(node, ownerId))
      );
      while ((await placements.update(SERVICE, add)).isErr()) await clock.sleep(200);
    };

    const process: TestProcess = {
      node,
      id: `${node}#${incarnation}`,
      clock,
      transport,
      placements,
      ownership,
      holder: () => holder as LeaseHolder,
      join,
      deliver: (entry) => {
        clock.schedule(0, () => accept(entry));
      },
      isFrozen: false,
    };
    processes.set(node, process);
    return process;
  };

  const at = (node: string) => processes.get(node) as TestProcess;

  const servingNodes = (key: string, include?: TestProcess): readonly string[] => {
    const servedBy = new Set<string>();
    for (const process of processes.values()) {
      if (process.isFrozen && process !== include) continue;
      const permit = process.ownership.acquire(SERVICE, key);
      if (permit.isErr()) continue;
      permit.value.release();
      servedBy.add(process.node);
    }
    for (const { process, key: heldKey, permit } of held) {
      const isRunning = heldKey === key && !process.isFrozen && !permit.signal.aborted;
      if (isRunning) servedBy.add(process.node);
    }
    return [...servedBy];
  };

  /** Throws when two nodes could serve the same key at the current time. */
  const checkOverlap = (include?: TestProcess) => {
    for (const key of KEYS) {
      const servedBy = servingNodes(key, include);
      if (servedBy.length > 1) throw new Error(`overlap at ${base.now()}: ${key} at ${servedBy}`);
    }
  };

  const isServed = (key: string) => servingNodes(key).length === 1;

  const advance = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await base.advance(STEP_MS);
      checkOverlap();
    }
  };

  /** Advances until all keys are served; returns the time in ms, or `Infinity` on a timeout. */
  const advanceUntilServed = async (limitMs: number, keys: readonly string[] = KEYS) => {
    const startMs = base.now();
    while (!keys.every(isServed)) {
      if (base.now() - startMs >= limitMs) return Infinity;
      await advance(STEP_MS);
    }
    return base.now() - startMs;
  };

  const freeze = (node: string) => {
    const process = at(node);
    process.isFrozen = true;
    process.clock.pause();
    network.pause(node);
  };

  /** Resumes a frozen process. Its first event is a request, before any overdue timer runs. */
  const resume = (node: string) => {
    const process = at(node);
    checkOverlap(process);
    process.isFrozen = false;
    process.clock.resume();
    network.resume(node);
    checkOverlap();
  };

  const kill = (node: string) => {
    const process = at(node);
    process.isFrozen = true;
    process.clock.pause();
    network.kill(node);
  };

  /** Drops control messages and announced records in one direction between two nodes. */
  const setCut = (from: string, to: string) => {
    network.cut(from, to);
    cuts.add(`${from} ${to}`);
  };

  /** Cuts a node off from new records of peers and the store, but not from control messages. */
  const blockRecords = (node: string) => {
    for (const source of ['store', ...processes.keys()]) cuts.add(`${source} ${node}`);
  };

  const healAll = () => {
    network.healAll();
    cuts.clear();
  };

  const hold = (node: string, key: string): OwnershipPermit => {
    const process = at(node);
    const acquired = process.ownership.acquire(SERVICE, key);
    if (acquired.isErr()) throw new Error(`${node} refuses ${key}: ${acquired.error.reason}`);
    const entry = { process, key, permit: acquired.value };
    held.add(entry);
    const release = () => {
      held.delete(entry);
      acquired.value.release();
    };
    return { ...acquired.value, release };
  };

  const keysOf = (node: string) => KEYS.filter((key) => servingNodes(key).includes(node));

  const update = async (node: string, change: PlacementChange) => {
    const pending = at(node).placements.update(SERVICE, change);
    await advance(20);
    return pending;
  };

  const names = Array.from({ length: options.nodes ?? 5 }, (_, index) => `n${index}`);
  for (const name of names) start(name);
  for (const name of names) {
    at(name).join();
    await base.advance(30);
  }
  await advance(500);
  // The first owner to join has every slot; distribute the slots evenly for the tests.
  const distributeSlots: PlacementChange = (record) => record && {
    ...record,
    version: record.version + 1,
    slots: record.slots.map((state, slot) => {
      const to = record.owners[slot % names.length]?.id;
      return { ...state, movingTo: to === state.owner ? undefined : to };
    }),
  };
  await update('n0', distributeSlots);
  await advance(1_000);
  if (!KEYS.every(isServed)) throw new Error('the fleet does not serve all keys after startup');

  return {
    store,
    at,
    start,
    kill,
    freeze,
    resume,
    setCut,
    healAll,
    blockRecords,
    hold,
    keysOf,
    update,
    advance,
    advanceUntilServed,
    isServed,
    witnessesOf,
    record: () => at(names.find((name) => !at(name).isFrozen) ?? 'n0').placements.current(SERVICE),
  };
};
