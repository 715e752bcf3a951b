import { type Clock, createPausableClock, createSystemClock } from '../clock/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import {
  type ControlFleet, FLEET_SERVICE, isFleetReady, startControlFleet,
} from './_control_fleet.ts';
import { startStoreLeaseProcess } from './_store_lease.ts';
import { createPausableStore, type PausableStore } from './_pausable_store.ts';
import {
  createOwnershipObserver, type FaultKind, faultKinds, type FaultOutcome, type ObservedFleet,
} from './_takeover_fault.ts';
import type { Bench, BenchRow } from './bench.ts';

// The nodes run the product's code on the system clock over the fake network, because freezing a
// real socket or cutting it in one direction would need tools of the operating system.
const FLEET_COUNT = 4;
const NODES = 10;
const SLOT_COUNT = 64;
const FAULTS_PER_KIND = 2;
/** Number of the victim's keys that are observed during a fault. */
const KEY_COUNT = 4;
const OBSERVE_INTERVAL_MS = 5;
const TAKEOVER_TIMEOUT_MS = 8000;
const READY_TIMEOUT_MS = 12_000;
const AFTER_TAKEOVER_MS = 200;
const PAUSE_BETWEEN_FAULTS_MS = 300;
const NAIVE_PROCESS_COUNT = 2;
const STORE_DELAY_MS = 2;
const MAX_UNOWNED_MS = 2000;

interface Fault {
  readonly begin: () => void;
  readonly heal: () => void;
}

const injectFault = async (
  clock: Clock,
  kind: FaultKind,
  fleet: ObservedFleet,
  fault: Fault,
): Promise<FaultOutcome> => {
  const faultMs = clock.now();
  const observer = createOwnershipObserver(fleet, faultMs);
  fault.begin();
  while (!observer.observe(clock.now()) && clock.now() - faultMs < TAKEOVER_TIMEOUT_MS) {
    await clock.sleep(OBSERVE_INTERVAL_MS);
  }
  const takenOverMs = clock.now() - faultMs;
  await clock.sleep(AFTER_TAKEOVER_MS);
  fault.heal();
  // A resumed process may receive a request before any of its timers runs.
  observer.observe(clock.now());
  const endMs = clock.now() + AFTER_TAKEOVER_MS;
  while (clock.now() < endMs) {
    observer.observe(clock.now());
    await clock.sleep(OBSERVE_INTERVAL_MS);
  }
  return {
    kind, unownedMs: observer.unownedMs(), takenOverMs, overlaps: observer.overlaps(),
  };
};

const waitFor = async (clock: Clock, timeoutMs: number, isDone: () => boolean) => {
  const endMs = clock.now() + timeoutMs;
  while (!isDone() && clock.now() < endMs) await clock.sleep(OBSERVE_INTERVAL_MS);
};

const runFleetFaults = async (clock: Clock, seed: number): Promise<readonly FaultOutcome[]> => {
  const clocks = Array.from({ length: NODES }, () => createPausableClock(clock));
  const stores: PausableStore[] = [];
  const fleet: ControlFleet = await startControlFleet(clock, {
    nodes: NODES,
    slotCount: SLOT_COUNT,
    seed,
    clockOf: (index) => clocks[index]!,
    storeOf: (index, store) => {
      const pausable = createPausableStore(store);
      stores[index] = pausable;
      return pausable;
    },
  });
  const network = fleet.network!;
  const killed = new Set<number>();
  const paused = new Set<number>();
  const serves = (index: number, key: string) => {
    const acquired = fleet.nodes[index]!.ownership.acquire(FLEET_SERVICE, key);
    if (acquired.isOk()) acquired.value.release();
    return acquired.isOk();
  };
  const serversOf = (key: string) => fleet.nodes
    .flatMap((_, index) => (paused.has(index) || !serves(index, key) ? [] : [index]));
  const addressOf = (index: number) => fleet.nodes[index]!.descriptor.controlAddress;
  const pause = (index: number) => {
    paused.add(index);
    clocks[index]!.pause();
    stores[index]!.pause();
  };
  const setPartitioned = (index: number, direction: number, isPartitioned: boolean) => {
    for (const other of fleet.nodes.keys()) {
      const ends = [addressOf(index), addressOf(other)] as const;
      const [from, to] = direction === 0 ? ends : [ends[1], ends[0]];
      if (other !== index) (isPartitioned ? network.cut : network.heal)(from, to);
    }
  };
  const createFaults = (victim: number, round: number): Readonly<Record<FaultKind, Fault>> => ({
    kill: {
      begin: () => {
        killed.add(victim);
        pause(victim);
        network.kill(addressOf(victim));
      },
      heal: () => undefined,
    },
    freeze: {
      begin: () => {
        pause(victim);
        network.pause(addressOf(victim));
      },
      heal: () => {
        paused.delete(victim);
        // Simulates a request that arrives before the timers of the resumed process run.
        serversOf('k0');
        clocks[victim]!.resume();
        stores[victim]!.resume();
        network.resume(addressOf(victim));
      },
    },
    'one-way partition': {
      begin: () => setPartitioned(victim, round % 2, true),
      heal: () => setPartitioned(victim, round % 2, false),
    },
  });

  const outcomes: FaultOutcome[] = [];
  await waitFor(clock, READY_TIMEOUT_MS, () => isFleetReady(fleet));
  for (const node of fleet.nodes) node.startPlacer();
  const candidateKeys = Array.from({ length: SLOT_COUNT * 8 }, (_, number) => `k${number}`);
  for (let run = 0; run < FAULTS_PER_KIND * faultKinds.length; run += 1) {
    const kind = faultKinds[run % faultKinds.length]!;
    const keysOf = (index: number) => candidateKeys.filter((key) => serves(index, key));
    let victim = (seed + run) % NODES;
    while (killed.has(victim) || keysOf(victim).length < KEY_COUNT) victim = (victim + 1) % NODES;
    const keys = keysOf(victim).slice(0, KEY_COUNT);
    const fault = createFaults(victim, Math.floor(run / faultKinds.length))[kind];
    outcomes.push(await injectFault(clock, kind, { keys, serversOf, victim }, fault));
    await waitFor(clock, READY_TIMEOUT_MS / 4, () => fleet.nodes.every((node, index) => (
      killed.has(index) || node.holder().isValid()
    )));
    await clock.sleep(PAUSE_BETWEEN_FAULTS_MS);
  }
  fleet.stop();
  return outcomes;
};

const runNaiveFault = async (clock: Clock, kind: FaultKind): Promise<FaultOutcome> => {
  const store = createMemoryStore(clock);
  store.setDelay(STORE_DELAY_MS);
  const processes = Array.from({ length: NAIVE_PROCESS_COUNT }, (_, index) => (
    startStoreLeaseProcess(`p${index}`, createPausableClock(clock), store)
  ));
  await waitFor(clock, READY_TIMEOUT_MS, () => processes.some((process) => process.isServing()));
  // Injects the fault at a random time between two renewals.
  await clock.sleep(Math.random() * 1000);
  const victim = processes.findIndex((process) => process.isServing());
  const paused = new Set<number>();
  const pause = () => {
    paused.add(victim);
    processes[victim]!.clock.pause();
  };
  // The clock stays paused, so the lease timer of the process does not run.
  const markRunning = () => {
    paused.delete(victim);
  };
  const setPartitioned = (isPartitioned: boolean) => (
    processes[victim]!.setPartitioned(isPartitioned)
  );
  const faults: Readonly<Record<FaultKind, Fault>> = {
    kill: { begin: pause, heal: () => undefined },
    freeze: { begin: pause, heal: markRunning },
    'one-way partition': { begin: () => setPartitioned(true), heal: () => setPartitioned(false) },
  };
  const serversOf = () => [...processes.keys()]
    .filter((index) => !paused.has(index) && processes[index]!.isServing());
  const outcome = await injectFault(clock, kind, { keys: ['k'], serversOf, victim }, faults[kind]);
  for (const process of processes) process.stop();
  return outcome;
};

const max = (values: readonly number[]) => Math.max(...values);

const median = (values: readonly number[]) => (
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
);

const createRows = (
  naive: readonly FaultOutcome[],
  product: readonly FaultOutcome[],
): readonly BenchRow[] => {
  const row = (
    metric: string,
    unit: string,
    aggregate: (outcomes: readonly FaultOutcome[]) => number,
    target: BenchRow['target'],
  ): BenchRow => ({
    bench: 'takeover', metric, unit, naive: aggregate(naive), product: aggregate(product), target,
  });
  const atMost = { relation: 'at most', value: MAX_UNOWNED_MS } as const;
  const selectKind = (outcomes: readonly FaultOutcome[], kind: FaultKind) => (
    outcomes.filter((outcome) => outcome.kind === kind)
  );
  const unownedMsOf = ({ unownedMs }: FaultOutcome) => unownedMs;
  const takenOverMsOf = ({ takenOverMs }: FaultOutcome) => takenOverMs;
  return [
    row('runs', 'count', (outcomes) => outcomes.length, { relation: 'at least', value: 20 }),
    row('time without an owner, highest', 'ms', (all) => max(all.map(unownedMsOf)), atMost),
    row('time without an owner, p50', 'ms', (all) => median(all.map(unownedMsOf)), null),
    ...faultKinds.flatMap((kind) => [
      row(`${kind}: without an owner, highest`, 'ms', (all) => (
        max(selectKind(all, kind).map(unownedMsOf))
      ), atMost),
      row(`${kind}: fault until served again, highest`, 'ms', (all) => (
        max(selectKind(all, kind).map(takenOverMsOf))
      ), null),
    ]),
    row('observations of two owners', 'count', (all) => (
      all.reduce((sum, { overlaps }) => sum + overlaps, 0)
    ), { relation: 'equal', value: 0 }),
  ];
};

/**
 * Measures the takeover after a kill, a freeze and a one-way partition of owners, in real time with
 * several fleets at once.
 */
export const runTakeoverBench: Bench = async ({ seed }) => {
  const clock = createSystemClock();
  const naive = faultKinds.flatMap((kind) => (
    Array.from({ length: FLEET_COUNT * FAULTS_PER_KIND }, () => runNaiveFault(clock, kind))
  ));
  const fleets = Array.from({ length: FLEET_COUNT }, (_, index) => (
    runFleetFaults(clock, seed * 100 + index)
  ));
  const product = (await Promise.all(fleets)).flat();
  return createRows(await Promise.all(naive), product);
};
