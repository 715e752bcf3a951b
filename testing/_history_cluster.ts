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
import type { PlantedFaults } from './_control_parts.ts';
import { createHistoryProcess, type HistoryProcess, SERVICE } from './_history_process.ts';
import type { Links } from './_memory_forwarder.ts';
import type { HistoryEvent, RecordEvent } from './history.ts';

/** Options of a cluster. */
export interface ClusterOptions {
  readonly seed: number;
  readonly nodes: readonly string[];
  readonly checksGrants: boolean;
  readonly keys: readonly string[];
  readonly planted: PlantedFaults;
}

/** A host: its node process and its upstream instance, each with a clock of its own. */
interface Host {
  readonly process: HistoryProcess;
  readonly upstream: FakeUpstream;
  readonly upstreamClock: PausableClock;
  isPaused: boolean;
  isDown: boolean;
}

/** Name of the store as the end of a link. */
export const STORE = 'store';

const STORE_DELAY_MS = 2;
const LINK_DELAY_MS = 0.5;
const FAILURE_DOMAINS = 3;

/** Records the records that the store accepts, in the order in which it does. */
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

/** The path of one node to the store; while it is cut, calls and replies are lost. */
const storeOverLink = (store: Store, clock: Clock, isCut: () => boolean): Store => {
  const lost = async (kind: StoreErrorKind) => {
    await clock.sleep(STORE_TIMEOUT_MS);
    return err(new StoreError(kind, 'no answer', { step: 'store.call', peer: 'store' }));
  };
  const pass = async <T>(
    kind: StoreErrorKind,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> => {
    if (isCut()) return lost('unavailable');
    const result = await call();
    return isCut() ? lost(kind) : result;
  };
  return {
    get: (key) => pass('unavailable', () => store.get(key)),
    list: (prefix) => pass('unavailable', () => store.list(prefix)),
    watch: (...call) => pass('unavailable', () => store.watch(...call)),
    compareAndSwap: (...call) => pass('unknown', () => store.compareAndSwap(...call)),
  };
};

const processesOf = (hosts: ReadonlyMap<string, Host>) => [...hosts.values()]
  .filter(({ isPaused, isDown }) => !isPaused && !isDown)
  .map(({ process }) => process);

/** The hosts of a run and the faults on them. */
export type HistoryCluster = Awaited<ReturnType<typeof createHistoryCluster>>;

/** Creates the hosts of a run over one fake clock, network and store, and the faults on them. */
export const createHistoryCluster = async (options: ClusterOptions) => {
  const { nodes, planted } = options;
  const base = createFakeClock();
  const network = createFakeNetwork(base, { delayMs: LINK_DELAY_MS });
  const memoryStore = createMemoryStore(base);
  memoryStore.setDelay(STORE_DELAY_MS);
  const slotOfKey = await createSlotOfKey();
  const events: HistoryEvent[] = [];
  const record: RecordEvent = (kind, fields) => {
    events.push({ kind, at: base.now(), ...fields } as HistoryEvent);
  };
  const recorded = recordingStore(memoryStore, record);
  const store = planted.wrapStore?.(recorded) ?? recorded;
  const hosts = new Map<string, Host>();
  const cuts = new Map<string, number>();
  let starts = 0;

  const isCut = (from: string, to: string) => (cuts.get(`${from} ${to}`) ?? 0) > 0;

  const createLinks = (node: string, clock: Clock): Links => ({
    post: (to, task) => base.schedule(LINK_DELAY_MS, () => {
      const host = hosts.get(to);
      if (host === undefined || host.isDown || isCut(node, to)) return;
      const { process } = host;
      const reply = (answer: () => void) => {
        base.schedule(LINK_DELAY_MS, () => {
          if (!isCut(to, node)) clock.schedule(0, answer);
        });
      };
      process.clock.schedule(0, () => {
        task(process.isOpen() ? process.endpoint : undefined, reply);
      });
    }),
  });

  const rights = new Map<string, string>();

  const probeKey = (key: string, running: readonly HistoryProcess[]) => {
    const entitled: string[] = [];
    for (const { node, ownership } of running) {
      const ticket = ownership.acquire(SERVICE, key);
      if (ticket.isErr()) continue;
      ticket.value.release();
      entitled.push(node);
    }
    const known = entitled.join(' ');
    if (rights.get(key) === known) return;
    rights.set(key, known);
    record('rights', { key, nodes: entitled });
  };

  const start = (node: string) => {
    starts += 1;
    const incarnation = `${starts}`;
    const clock = createPausableClock(base);
    const upstreamClock = createPausableClock(base);
    const random = createRandom(options.seed * 1000 + starts);
    const upstream = createFakeUpstream({
      clock: upstreamClock,
      node,
      record,
      checksGrants: options.checksGrants,
      random: () => uniformFloat64(random),
    });
    record('host', { node, state: 'started' });
    const process = createHistoryProcess({
      node,
      incarnation,
      failureDomain: `d${nodes.indexOf(node) % FAILURE_DOMAINS}`,
      seeds: nodes.filter((other) => other !== node),
      clock,
      transport: network.connect(node, { node, incarnation }),
      store: storeOverLink(store, base, () => isCut(node, STORE)),
      links: createLinks(node, clock),
      upstream,
      slotOfKey,
      random,
      record,
      onEnter: (key, token) => {
        record('enter', { node, key, token });
        probeKey(key, processesOf(hosts));
      },
      planted,
    });
    hosts.set(node, {
      process, upstream, upstreamClock, isPaused: false, isDown: false,
    });
  };

  const at = (node: string) => hosts.get(node)!;

  const held = new Map<string, number>();

  const noteInForce = (process: HistoryProcess) => {
    const { node, incarnation } = process;
    const note = (holder: 'relay' | 'contracts', key: string, revision: number) => {
      const id = `${holder} ${key} ${node} ${incarnation}`;
      if (held.get(id) === revision) return;
      held.set(id, revision);
      record('in force', {
        node, process: incarnation, holder, key, revision,
      });
    };
    for (const { key, revision } of process.relay.list('')) note('relay', key, revision);
    for (const { customer, revision } of process.contracts.list()) {
      note('contracts', customer, revision);
    }
  };

  /** Records who may enter each key and which revisions are in force at this moment. */
  const probe = (resuming?: HistoryProcess) => {
    const running = processesOf(hosts);
    if (resuming !== undefined) running.push(resuming);
    for (const process of running) noteInForce(process);
    for (const key of options.keys) probeKey(key, running);
  };

  const isRunning = (node: string) => !at(node).isPaused && !at(node).isDown;

  const pause = (node: string) => {
    const host = at(node);
    if (!isRunning(node)) return;
    host.isPaused = true;
    host.process.clock.pause();
    host.upstreamClock.pause();
    network.pause(node);
    record('host', { node, state: 'paused' });
  };

  /** The first event of a resumed process is a request, before any late timer runs. */
  const resume = (node: string) => {
    const host = at(node);
    if (!host.isPaused || host.isDown) return;
    probe(host.process);
    host.isPaused = false;
    host.process.clock.resume();
    network.resume(node);
    record('host', { node, state: 'resumed' });
    host.upstreamClock.resume();
    probe();
  };

  const kill = (node: string) => {
    const host = at(node);
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
    if (at(node).isDown) start(node);
  };

  const setCut = (from: string, to: string, cut: boolean) => {
    const link = `${from} ${to}`;
    const count = Math.max(0, (cuts.get(link) ?? 0) + (cut ? 1 : -1));
    cuts.set(link, count);
    if (count > 0) network.cut(from, to);
    else network.heal(from, to);
    record('link', { from, to, cut: count > 0 });
  };

  const stop = async (node: string) => {
    const host = at(node);
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
    base,
    events,
    record,
    store: memoryStore,
    running: () => processesOf(hosts),
    isRunning,
    start,
    at: (node: string) => at(node).process,
    upstreamClock: (node: string) => at(node).upstreamClock,
    isPaused: (node: string) => at(node).isPaused,
    probe,
    pause,
    resume,
    kill,
    restart,
    setCut,
    stop,
  };
};
