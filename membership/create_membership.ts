import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { Store } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createAntiEntropy } from './_anti_entropy.ts';
import { createNodeDirectory } from './_node_directory.ts';
import { createGossip, sample } from './_gossip.ts';
import { createMemberTable } from './_member_table.ts';
import { runProber } from './_prober.ts';
import { DEFAULT_TIMINGS, type MembershipTimings } from './_timings.ts';
import type { MemberDescription, Membership } from './membership.ts';

/** Options for `createMembership`. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: PeerTransport;
  readonly self: MemberDescription;
  /** Control addresses of the nodes through which this node tries to join first. */
  readonly seeds: readonly string[];
  /** Store with the node directory; without one, the node joins only through the seeds. */
  readonly store?: Store;
  /** Returns random numbers in [0, 1). */
  readonly random?: () => number;
  readonly timings?: Partial<MembershipTimings>;
}

type Listener = (member: MemberUpdate) => void;

const MAX_JOIN_ADDRESSES = 3;
const JOIN_BACKOFF_MS = 500;
const LEAVE_PUSH_COUNT = 3;
// Limits the delay of a graceful shutdown when the store does not respond.
const DEREGISTRATION_TIMEOUT_MS = 2000;

/**
 * Starts the membership of a node. The node joins through a seed or, if no seed answers, through
 * the node directory in the store, and maintains the member list by gossip. It works without the
 * store.
 *
 * The counter of a process starts at its wall-clock time in seconds, so that the process supersedes
 * its predecessor on the same node. If the clock was set back, the process raises its counter as
 * soon as it receives an update about the predecessor.
 *
 * @param options This node, its transport, the seeds and the store.
 * @returns The membership; joining continues in the background.
 *
 * @example
 * const membership = createMembership({ clock, logger, transport, self, seeds, store });
 */
export const createMembership = (options: MembershipOptions): Membership => {
  const {
    clock, logger, transport, seeds, store, random = Math.random,
  } = options;
  const timings = { ...DEFAULT_TIMINGS, ...options.timings };
  const listeners = new Set<Listener>();
  const stopping = new AbortController();
  const { signal } = stopping;
  let latestInstances = options.self.instances;
  let publishedAtMs = -Infinity;
  let cancelPublish: (() => void) | undefined;

  const gossipListeners = new Set<Listener>();

  const table = createMemberTable({
    clock,
    self: {
      ...options.self,
      counter: Math.floor(clock.wallTime() / 1000),
      state: MemberState.MEMBER_STATE_ALIVE,
    },
    suspicionMs: (members) => Math.max(
      timings.minSuspicionMs,
      timings.suspicionMsPerDoubling * Math.log2(members + 1),
    ),
    deadRetentionMs: timings.deadRetentionMs,
    onChange: (member, shouldGossip) => {
      if (shouldGossip) for (const listener of gossipListeners) listener(member);
      for (const listener of listeners) listener(member);
    },
  });
  const common = {
    clock, logger, transport, table, timings, random,
  };
  const gossip = createGossip(common);
  gossipListeners.add(gossip.add);
  const antiEntropy = createAntiEntropy(common);
  const directory = store && createNodeDirectory({ ...common, store });

  const isAlone = () => table.reachable().length === 1;

  const ownAddress = options.self.controlAddress;

  const joinThrough = async (addresses: readonly string[]) => {
    const candidates = addresses.filter((address) => address !== ownAddress);
    for (const address of sample(candidates, MAX_JOIN_ADDRESSES, random)) {
      if (signal.aborted) return;
      if (await antiEntropy.syncWith(address) && !isAlone()) return;
    }
  };

  const join = async () => {
    for (let backoffMs = JOIN_BACKOFF_MS; isAlone() && !signal.aborted; backoffMs *= 2) {
      await joinThrough(seeds);
      if (isAlone() && directory && !signal.aborted) await joinThrough(await directory.addresses());
      if (!isAlone()) return;
      const pauseMs = Math.min(timings.maxJoinBackoffMs, backoffMs) * (0.5 + random());
      await clock.sleep(pauseMs, signal);
    }
  };

  /** Syncs with seeds and lost members, which may be reachable again after a partition. */
  const reconnectLost = async () => {
    while (!signal.aborted) {
      await clock.sleep(timings.retryIntervalMs * (0.5 + random()), signal);
      const reachable = new Set(table.reachable().map(({ controlAddress }) => controlAddress));
      const missing = [...seeds, ...table.lost().map(({ controlAddress }) => controlAddress)]
        .filter((address) => address !== ownAddress && !reachable.has(address));
      const [address] = sample(missing, 1, random);
      if (address !== undefined && !signal.aborted) await antiEntropy.syncWith(address);
    }
  };

  const joinAndRegister = async () => {
    await join();
    await directory?.register(signal);
  };

  runProber({
    ...common,
    gossip,
    merge: (updates) => {
      for (const update of updates) table.merge(update);
    },
  }, signal);
  antiEntropy.run(signal);
  reconnectLost();
  const registration = joinAndRegister();

  const publish = () => {
    cancelPublish = undefined;
    publishedAtMs = clock.now();
    table.updateSelf({ instances: latestInstances });
  };

  const stop = async () => {
    stopping.abort();
    cancelPublish?.();
    gossip.stop();
    table.stop();
    listeners.clear();
  };

  return {
    self: table.self,
    members: table.reachable,
    find: (node) => table.reachable().find((member) => member.node === node),
    updateInstances: (instances) => {
      latestInstances = instances;
      if (cancelPublish !== undefined || signal.aborted) return;
      const dueMs = publishedAtMs + timings.publishIntervalMs;
      if (clock.now() >= dueMs) publish();
      else cancelPublish = clock.schedule(dueMs - clock.now(), publish);
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    leave: async () => {
      stopping.abort();
      table.updateSelf({ state: MemberState.MEMBER_STATE_LEFT });
      for (let count = 0; count < LEAVE_PUSH_COUNT; count += 1) {
        gossip.flush();
        await clock.sleep(timings.pushIntervalMs);
      }
      const removal = registration.then(() => directory?.deregister());
      await Promise.race([removal, clock.sleep(DEREGISTRATION_TIMEOUT_MS)]);
      await stop();
    },
    stop,
  };
};
