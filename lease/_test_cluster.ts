import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createFakeClock, createPausableClock, type PausableClock } from '../clock/mod.ts';
import { createFakeNetwork, type PeerTransport } from '../peer/mod.ts';
import {
  addOwner, createPlacements, createRecord, type Owner, type OwnerId, type PlacementChange,
  type Placements, type WitnessReference,
} from '../placement/mod.ts';
import { createMemoryStore, type StoreEntry } from '../store/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { createPartitionableStore, createTestRelay } from './_test_relay.ts';
import {
  createLeaseHolder, createOwnership, createTakeover, createWitness, type LeaseHolder,
  type NodeOwnership, type OwnershipTicket, type UpstreamGrants,
} from './mod.ts';

export const SERVICE = 'ledger';
export const SLOT_COUNT = 16;
const STEP_MS = 10;
const RELAY_DELAY_MS = 3;

/** Among 13 nodes, two nodes are witnesses of at most one owner together. */
const WITNESS_OFFSETS = [1, 3, 9];

/** One process; a restart of the node makes another one. */
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

/** Faults that a test plants to show that the overlap check notices them. */
export interface ClusterOptions {
  readonly nodes?: number;
  readonly grants?: UpstreamGrants;
  readonly wrapHolder?: (holder: LeaseHolder) => LeaseHolder;
}

const slotOfKey = (key: string, slotCount: number) => Number(key.slice(1)) % slotCount;

export const KEYS = Array.from({ length: SLOT_COUNT }, (_, slot) => `k${slot}`);

/** Creates a fleet over one fake clock, network and store; every node owns some slots. */
export const createCluster = async (options: ClusterOptions = {}) => {
  const base = createFakeClock();
  const network = createFakeNetwork(base);
  const store = createMemoryStore(base);
  store.setDelay(2);
  const processes = new Map<string, TestProcess>();
  const cuts = new Set<string>();
  const held = new Set<{ process: TestProcess; key: string; ticket: OwnershipTicket }>();
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

  /** Starts a process at a node; it replaces the former one. */
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
      logger: silentLogger,
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
    const entered = new Set<string>();
    for (const process of processes.values()) {
      if (process.isFrozen && process !== include) continue;
      const ticket = process.ownership.enter(SERVICE, key);
      if (ticket.isErr()) continue;
      ticket.value.release();
      entered.add(process.node);
    }
    for (const { process, key: heldKey, ticket } of held) {
      const isRunning = heldKey === key && !process.isFrozen && !ticket.signal.aborted;
      if (isRunning) entered.add(process.node);
    }
    return [...entered];
  };

  /** Fails when two nodes could serve one key at this moment. */
  const checkOverlap = (include?: TestProcess) => {
    for (const key of KEYS) {
      const entered = servingNodes(key, include);
      if (entered.length > 1) throw new Error(`overlap at ${base.now()}: ${key} at ${entered}`);
    }
  };

  const isServed = (key: string) => servingNodes(key).length === 1;

  const advance = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await base.advance(STEP_MS);
      checkOverlap();
    }
  };

  /** Advances until all keys are served and returns the time that it took. */
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

  /** Thaws a process; its first event is a request, before any late timer runs. */
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

  /** Cuts one direction between a node and the others, for control messages and versions. */
  const setCut = (from: string, to: string) => {
    network.cut(from, to);
    cuts.add(`${from} ${to}`);
  };

  /** Hides new records from a node; its control messages still arrive. */
  const blockRecords = (node: string) => {
    for (const source of ['store', ...processes.keys()]) cuts.add(`${source} ${node}`);
  };

  const healAll = () => {
    network.healAll();
    cuts.clear();
  };

  const hold = (node: string, key: string): OwnershipTicket => {
    const process = at(node);
    const entered = process.ownership.enter(SERVICE, key);
    if (entered.isErr()) throw new Error(`${node} refuses ${key}: ${entered.error.reason}`);
    const entry = { process, key, ticket: entered.value };
    held.add(entry);
    const release = () => {
      held.delete(entry);
      entered.value.release();
    };
    return { ...entered.value, release };
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
  // The first owner took every slot; the others get their share for the tests.
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
  if (!KEYS.every(isServed)) throw new Error('the fleet does not serve all keys at the start');

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
