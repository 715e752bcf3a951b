import { type Clock, createPausableClock, createSystemClock } from '../clock/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import {
  type ControlFleet, FLEET_SERVICE, isSettled, startControlFleet,
} from './_control_fleet.ts';
import { startStoreLeaseProcess } from './_store_lease.ts';
import { createGatedStore, type GatedStore } from './_gated_store.ts';
import {
  createObserver, type FaultKind, faultKinds, type FaultOutcome, type ObservedFleet,
} from './_takeover_fault.ts';
import type { Bench, BenchRow } from './bench.ts';

// Real node code on the system clock over the fake network: a real socket cannot be frozen or cut
// in one direction without a tool of the operating system.
const FLEETS = 4;
const NODES = 10;
const SLOTS = 64;
const FAULTS_PER_KIND = 2;
const SAMPLED_KEYS = 4;
const OBSERVE_INTERVAL_MS = 5;
const FAULT_LIMIT_MS = 8000;
const SETTLE_LIMIT_MS = 12_000;
const FREEZE_EXTRA_MS = 200;
const PAUSE_BETWEEN_MS = 300;
const NAIVE_PROCESSES = 2;
const STORE_DELAY_MS = 2;
const TARGET_MS = 2000;

interface Faults {
  readonly begin: () => void;
  readonly end: () => void;
}

const follow = async (
  clock: Clock,
  kind: FaultKind,
  fleet: ObservedFleet,
  faults: Faults,
): Promise<FaultOutcome> => {
  const faultMs = clock.now();
  const observer = createObserver(fleet, faultMs);
  faults.begin();
  while (!observer.observe(clock.now()) && clock.now() - faultMs < FAULT_LIMIT_MS) {
    await clock.sleep(OBSERVE_INTERVAL_MS);
  }
  const takenOverMs = clock.now() - faultMs;
  await clock.sleep(FREEZE_EXTRA_MS);
  faults.end();
  // The first event of a process that returns may be a request, before any of its timers.
  observer.observe(clock.now());
  const endMs = clock.now() + FREEZE_EXTRA_MS;
  while (clock.now() < endMs) {
    observer.observe(clock.now());
    await clock.sleep(OBSERVE_INTERVAL_MS);
  }
  return {
    kind, unownedMs: observer.unownedMs(), takenOverMs, overlaps: observer.overlaps(),
  };
};

const waitFor = async (clock: Clock, limitMs: number, isDone: () => boolean) => {
  const endMs = clock.now() + limitMs;
  while (!isDone() && clock.now() < endMs) await clock.sleep(OBSERVE_INTERVAL_MS);
};

const runFleet = async (clock: Clock, seed: number): Promise<readonly FaultOutcome[]> => {
  const clocks = Array.from({ length: NODES }, () => createPausableClock(clock));
  const stores: GatedStore[] = [];
  const fleet: ControlFleet = await startControlFleet(clock, {
    nodes: NODES,
    slotCount: SLOTS,
    seed,
    clockOf: (index) => clocks[index]!,
    storeOf: (index, store) => {
      const gated = createGatedStore(store);
      stores[index] = gated;
      return gated;
    },
  });
  const network = fleet.network!;
  const gone = new Set<number>();
  const halted = new Set<number>();
  const serves = (index: number, key: string) => {
    const entered = fleet.nodes[index]!.ownership.acquire(FLEET_SERVICE, key);
    if (entered.isOk()) entered.value.release();
    return entered.isOk();
  };
  const serversOf = (key: string) => fleet.nodes
    .flatMap((_, index) => (halted.has(index) || !serves(index, key) ? [] : [index]));
  const addressOf = (index: number) => fleet.nodes[index]!.place.controlAddress;
  const halt = (index: number) => {
    halted.add(index);
    clocks[index]!.pause();
    stores[index]!.halt();
  };
  const cutAll = (index: number, direction: number, isCut: boolean) => {
    for (const other of fleet.nodes.keys()) {
      const ends = [addressOf(index), addressOf(other)] as const;
      const [from, to] = direction === 0 ? ends : [ends[1], ends[0]];
      if (other !== index) (isCut ? network.cut : network.heal)(from, to);
    }
  };
  const faultsOf = (victim: number, round: number): Readonly<Record<FaultKind, Faults>> => ({
    kill: {
      begin: () => {
        gone.add(victim);
        halt(victim);
        network.kill(addressOf(victim));
      },
      end: () => undefined,
    },
    freeze: {
      begin: () => {
        halt(victim);
        network.pause(addressOf(victim));
      },
      end: () => {
        halted.delete(victim);
        serversOf('k0');
        clocks[victim]!.resume();
        stores[victim]!.resume();
        network.resume(addressOf(victim));
      },
    },
    'one-way partition': {
      begin: () => cutAll(victim, round % 2, true),
      end: () => cutAll(victim, round % 2, false),
    },
  });

  const outcomes: FaultOutcome[] = [];
  await waitFor(clock, SETTLE_LIMIT_MS, () => isSettled(fleet));
  for (const node of fleet.nodes) node.startPlacer();
  const candidates = Array.from({ length: SLOTS * 8 }, (_, number) => `k${number}`);
  for (let run = 0; run < FAULTS_PER_KIND * faultKinds.length; run += 1) {
    const kind = faultKinds[run % faultKinds.length]!;
    const keysOf = (index: number) => candidates.filter((key) => serves(index, key));
    let victim = (seed + run) % NODES;
    while (gone.has(victim) || keysOf(victim).length < SAMPLED_KEYS) victim = (victim + 1) % NODES;
    const keys = keysOf(victim).slice(0, SAMPLED_KEYS);
    const faults = faultsOf(victim, Math.floor(run / faultKinds.length))[kind];
    outcomes.push(await follow(clock, kind, { keys, serversOf, victim }, faults));
    await waitFor(clock, SETTLE_LIMIT_MS / 4, () => fleet.nodes.every((node, index) => (
      gone.has(index) || node.holder().isValid()
    )));
    await clock.sleep(PAUSE_BETWEEN_MS);
  }
  fleet.stop();
  return outcomes;
};

const runNaive = async (clock: Clock, kind: FaultKind): Promise<FaultOutcome> => {
  const store = createMemoryStore(clock);
  store.setDelay(STORE_DELAY_MS);
  const processes = Array.from({ length: NAIVE_PROCESSES }, (_, index) => (
    startStoreLeaseProcess(`p${index}`, createPausableClock(clock), store)
  ));
  await waitFor(clock, SETTLE_LIMIT_MS, () => processes.some((process) => process.serves()));
  // The fault comes at a random moment between two renewals.
  await clock.sleep(Math.random() * 1000);
  const victim = processes.findIndex((process) => process.serves());
  const halted = new Set<number>();
  const halt = () => {
    halted.add(victim);
    processes[victim]!.clock.pause();
  };
  const thaw = () => {
    halted.delete(victim);
  };
  const cut = (isCut: boolean) => processes[victim]!.setCut(isCut);
  const faults: Readonly<Record<FaultKind, Faults>> = {
    kill: { begin: halt, end: () => undefined },
    freeze: { begin: halt, end: thaw },
    'one-way partition': { begin: () => cut(true), end: () => cut(false) },
  };
  const serversOf = () => [...processes.keys()]
    .filter((index) => !halted.has(index) && processes[index]!.serves());
  const outcome = await follow(clock, kind, { keys: ['k'], serversOf, victim }, faults[kind]);
  for (const process of processes) process.stop();
  return outcome;
};

const highest = (values: readonly number[]) => Math.max(...values);

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

const rowsOf = (
  naive: readonly FaultOutcome[],
  product: readonly FaultOutcome[],
): readonly BenchRow[] => {
  const row = (
    metric: string,
    unit: string,
    figure: (outcomes: readonly FaultOutcome[]) => number,
    target: BenchRow['target'],
  ): BenchRow => ({
    bench: 'takeover', metric, unit, naive: figure(naive), product: figure(product), target,
  });
  const atMost = { relation: 'at most', value: TARGET_MS } as const;
  const ofKind = (outcomes: readonly FaultOutcome[], kind: FaultKind) => (
    outcomes.filter((outcome) => outcome.kind === kind)
  );
  const unowned = ({ unownedMs }: FaultOutcome) => unownedMs;
  const takenOver = ({ takenOverMs }: FaultOutcome) => takenOverMs;
  return [
    row('runs', 'count', (outcomes) => outcomes.length, { relation: 'at least', value: 20 }),
    row('time without an owner, highest', 'ms', (all) => highest(all.map(unowned)), atMost),
    row('time without an owner, p50', 'ms', (all) => median(all.map(unowned)), null),
    ...faultKinds.flatMap((kind) => [
      row(`${kind}: without an owner, highest`, 'ms', (all) => (
        highest(ofKind(all, kind).map(unowned))
      ), atMost),
      row(`${kind}: fault until served again, highest`, 'ms', (all) => (
        highest(ofKind(all, kind).map(takenOver))
      ), null),
    ]),
    row('observations of two owners', 'count', (all) => (
      all.reduce((sum, { overlaps }) => sum + overlaps, 0)
    ), { relation: 'equal', value: 0 }),
  ];
};

/** Loss of owners by kill, freeze and one-way partition, on real time, several fleets at once. */
export const runTakeoverBench: Bench = async ({ seed }) => {
  const clock = createSystemClock();
  const naive = faultKinds.flatMap((kind) => (
    Array.from({ length: FLEETS * FAULTS_PER_KIND }, () => runNaive(clock, kind))
  ));
  const fleets = Array.from({ length: FLEETS }, (_, index) => runFleet(clock, seed * 100 + index));
  const product = (await Promise.all(fleets)).flat();
  return rowsOf(await Promise.all(naive), product);
};
