import { err, type Result } from 'neverthrow';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import {
  type Clock, createFakeClock, createPausableClock, type PausableClock,
} from '../clock/mod.ts';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import { createFakeNetwork } from '../peer/mod.ts';
import { createSlotOfKey, decodeRecord } from '../placement/mod.ts';
import { createMemoryStore, type Store } from '../store/mod.ts';
import { createFakeUpstream, type FakeUpstream } from './_fake_upstream.ts';
import { createRandom } from './_faults.ts';
import type { InjectedDefects } from './_control_plane.ts';
import { createSimulatedProcess, type SimulatedProcess, SERVICE } from './_simulated_process.ts';
import type { PeerLinks } from './_memory_forwarder.ts';
import type { HistoryEvent, RecordEvent } from './history.ts';

/** Options of a simulated cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly nodes: readonly string[];
  readonly checksGrants: boolean;
  readonly keys: readonly string[];
  readonly defects: InjectedDefects;
}

/** A host with its node process and upstream instance, each with its own clock. */
interface Host {
  readonly process: SimulatedProcess;
  readonly upstream: FakeUpstream;
  readonly upstreamClock: PausableClock;
  isPaused: boolean;
  isDown: boolean;
}

/** Name of the store as an endpoint of links. */
export const STORE = 'store';

const STORE_DELAY_MS = 2;
const LINK_DELAY_MS = 0.5;
const FAILURE_DOMAINS = 3;

/** Wraps a store to record the placement records that it accepts, in the order of acceptance. */
const recordingStore = (store: Store, record: RecordEvent): Store => ({
  ...store,
  compareAndSwap: async (key, expectedRevision, value) => {
    const outcome = await store.compareAndSwap(key, expectedRevision, value);
    const isWritten = outcome.isOk() || outcome.error.kind === 'unknown';
    const decoded = isWritten && key.startsWith('placement/') ? decodeRecord(value) : undefined;
    if (decoded?.isOk()) {
      const revision = outcome.unwrapOr(0);
      record('record', { revision, record: decoded.value });
    }
    return outcome;
  },
});

const STORE_TIMEOUT_MS = 100;

/** Wraps a store as one node reaches it; calls and replies are lost while the link is cut. */
const storeOverLink = (store: Store, clock: Clock, isCut: () => boolean): Store => {
  const timeOut = async (kind: StoreErrorKind) => {
    await clock.sleep(STORE_TIMEOUT_MS);
    return err(new StoreError(kind, 'no answer', { step: 'store.call', peer: 'store' }));
  };
  const callOverLink = async <T>(
    kind: StoreErrorKind,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> => {
    if (isCut()) return timeOut('unavailable');
    const result = await call();
    return isCut() ? timeOut(kind) : result;
  };
  return {
    get: (key) => callOverLink('unavailable', () => store.get(key)),
    list: (prefix) => callOverLink('unavailable', () => store.list(prefix)),
    watch: (...call) => callOverLink('unavailable', () => store.watch(...call)),
    compareAndSwap: (...call) => callOverLink('unknown', () => store.compareAndSwap(...call)),
  };
};

const runningProcessesOf = (hosts: ReadonlyMap<string, Host>) => [...hosts.values()]
  .filter(({ isPaused, isDown }) => !isPaused && !isDown)
  .map(({ process }) => process);

/** The hosts of a simulation, with operations that inject faults. */
export type SimulatedCluster = Awaited<ReturnType<typeof createSimulatedCluster>>;

/** Creates a simulated cluster on one fake clock, network and store; no host is started yet. */
export const createSimulatedCluster = async (options: ClusterOptions) => {
  const { nodes, defects } = options;
  const baseClock = createFakeClock();
  const network = createFakeNetwork(baseClock, { delayMs: LINK_DELAY_MS });
  const memoryStore = createMemoryStore(baseClock);
  memoryStore.setDelay(STORE_DELAY_MS);
  const slotOfKey = await createSlotOfKey();
  const events: HistoryEvent[] = [];
  const record: RecordEvent = (kind, fields) => {
    events.push({ kind, at: baseClock.now(), ...fields } as HistoryEvent);
  };
  const recordedStore = recordingStore(memoryStore, record);
  const store = defects.wrapStore?.(recordedStore) ?? recordedStore;
  const hosts = new Map<string, Host>();
  const cutCounts = new Map<string, number>();
  let startCount = 0;

  const isCut = (from: string, to: string) => (cutCounts.get(`${from} ${to}`) ?? 0) > 0;

  const createLinks = (node: string, clock: Clock): PeerLinks => ({
    send: (to, task) => baseClock.schedule(LINK_DELAY_MS, () => {
      const host = hosts.get(to);
      if (host === undefined || host.isDown || isCut(node, to)) return;
      const { process } = host;
      const reply = (answer: () => void) => {
        baseClock.schedule(LINK_DELAY_MS, () => {
          if (!isCut(to, node)) clock.schedule(0, answer);
        });
      };
      process.clock.schedule(0, () => {
        task(process.isOpen() ? process.endpoint : undefined, reply);
      });
    }),
  });

  const lastEntitled = new Map<string, string>();

  const recordEntitled = (key: string, running: readonly SimulatedProcess[]) => {
    const entitled: string[] = [];
    for (const { node, ownership } of running) {
      const permit = ownership.acquire(SERVICE, key);
      if (permit.isErr()) continue;
      permit.value.release();
      entitled.push(node);
    }
    const entitledNodes = entitled.join(' ');
    if (lastEntitled.get(key) === entitledNodes) return;
    lastEntitled.set(key, entitledNodes);
    record('rights', { key, nodes: entitled });
  };

  const start = (node: string) => {
    startCount += 1;
    const incarnation = `${startCount}`;
    const clock = createPausableClock(baseClock);
    const upstreamClock = createPausableClock(baseClock);
    const random = createRandom(options.seed * 1000 + startCount);
    const upstream = createFakeUpstream({
      clock: upstreamClock,
      node,
      record,
      checksGrants: options.checksGrants,
      random: () => uniformFloat64(random),
    });
    record('host', { node, state: 'started' });
    const process = createSimulatedProcess({
      node,
      incarnation,
      failureDomain: `d${nodes.indexOf(node) % FAILURE_DOMAINS}`,
      seeds: nodes.filter((other) => other !== node),
      clock,
      transport: network.connect(node, { node, incarnation }),
      store: storeOverLink(store, baseClock, () => isCut(node, STORE)),
      links: createLinks(node, clock),
      upstream,
      slotOfKey,
      random,
      record,
      onAcquire: (key, token) => {
        record('enter', { node, key, token });
        recordEntitled(key, runningProcessesOf(hosts));
      },
      defects,
    });
    hosts.set(node, {
      process, upstream, upstreamClock, isPaused: false, isDown: false,
    });
  };

  const hostOf = (node: string) => hosts.get(node)!;

  const lastRevisions = new Map<string, number>();

  const recordRevisions = (process: SimulatedProcess) => {
    const { node, incarnation } = process;
    const recordRevision = (holder: 'relay' | 'contracts', key: string, revision: number) => {
      const id = `${holder} ${key} ${node} ${incarnation}`;
      if (lastRevisions.get(id) === revision) return;
      lastRevisions.set(id, revision);
      record('in force', {
        node, process: incarnation, holder, key, revision,
      });
    };
    for (const { key, revision } of process.relay.list('')) recordRevision('relay', key, revision);
    for (const { customer, revision } of process.contracts.list()) {
      recordRevision('contracts', customer, revision);
    }
  };

  /** Records which nodes may serve each key and which revisions are in force at this time. */
  const recordState = (resuming?: SimulatedProcess) => {
    const running = runningProcessesOf(hosts);
    if (resuming !== undefined) running.push(resuming);
    for (const process of running) recordRevisions(process);
    for (const key of options.keys) recordEntitled(key, running);
  };

  const isRunning = (node: string) => !hostOf(node).isPaused && !hostOf(node).isDown;

  const pause = (node: string) => {
    const host = hostOf(node);
    if (!isRunning(node)) return;
    host.isPaused = true;
    host.process.clock.pause();
    host.upstreamClock.pause();
    network.pause(node);
    record('host', { node, state: 'paused' });
  };

  /**
   * Resumes a host. The state of its process is recorded first, as a request may reach a resumed
   * process before any overdue timer runs.
   */
  const resume = (node: string) => {
    const host = hostOf(node);
    if (!host.isPaused || host.isDown) return;
    recordState(host.process);
    host.isPaused = false;
    host.process.clock.resume();
    network.resume(node);
    record('host', { node, state: 'resumed' });
    host.upstreamClock.resume();
    recordState();
  };

  const kill = (node: string) => {
    const host = hostOf(node);
    if (host.isDown) return;
    host.isDown = true;
    network.resume(node);
    network.kill(node);
    host.process.clock.pause();
    host.upstreamClock.pause();
    host.upstream.kill();
    record('host', { node, state: 'killed' });
  };

  const restart = (node: string) => {
    if (hostOf(node).isDown) start(node);
  };

  const setCut = (from: string, to: string, cut: boolean) => {
    const link = `${from} ${to}`;
    const count = Math.max(0, (cutCounts.get(link) ?? 0) + (cut ? 1 : -1));
    cutCounts.set(link, count);
    if (count > 0) network.cut(from, to);
    else network.heal(from, to);
    record('link', { from, to, cut: count > 0 });
  };

  const stop = async (node: string) => {
    const host = hostOf(node);
    if (!isRunning(node)) return;
    await host.process.stop();
    if (host.isDown) return;
    host.isDown = true;
    network.kill(node);
    record('host', { node, state: 'stopped' });
    host.upstream.kill();
    host.process.clock.pause();
  };

  return {
    baseClock,
    events,
    record,
    store: memoryStore,
    running: () => runningProcessesOf(hosts),
    isRunning,
    start,
    at: (node: string) => hostOf(node).process,
    upstreamClock: (node: string) => hostOf(node).upstreamClock,
    isPaused: (node: string) => hostOf(node).isPaused,
    recordState,
    pause,
    resume,
    kill,
    restart,
    setCut,
    stop,
  };
};
