import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { Store } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createAntiEntropy } from './_anti_entropy.ts';
import { createDirectory } from './_directory.ts';
import { createGossip, sample } from './_gossip.ts';
import { createMemberTable } from './_member_table.ts';
import { runProber } from './_prober.ts';
import { DEFAULT_TIMINGS, type MembershipTimings } from './_timings.ts';
import type { MemberDescription, Membership } from './membership.ts';

/** Options of a membership. */
export interface MembershipOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly transport: PeerTransport;
  readonly self: MemberDescription;
  /** Control addresses that are asked first. */
  readonly seeds: readonly string[];
  /** Holds the directory of nodes; without it, only the seeds are asked. */
  readonly store?: Store;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
  readonly timings?: Partial<MembershipTimings>;
}

type Listener = (member: MemberUpdate) => void;

const JOIN_ADDRESSES = 3;
const JOIN_BACKOFF_MS = 500;
const LEAVE_PUSHES = 3;
// A store that does not respond must not hold up a planned stop.
const LEAVE_DIRECTORY_MS = 2000;

/**
 * Starts the membership of a node: joins through a seed or, when none answers, through the
 * directory in the store, and keeps the list of members by gossip. It works without the store.
 *
 * A process starts with its wall-clock time in seconds as counter, so that it replaces its
 * predecessor of the same node; when the clock went backwards, it raises the counter as soon as it
 * hears of the predecessor.
 *
 * @param options This node, its transport, seeds and store.
 * @returns The membership; joining goes on in the background.
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
  let published = options.self.instances;
  let publishedAtMs = -Infinity;
  let cancelPublish: (() => void) | undefined;

  const newsListeners = new Set<Listener>();

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
    onChange: (member, isNews) => {
      if (isNews) for (const listener of newsListeners) listener(member);
      for (const listener of listeners) listener(member);
    },
  });
  const shared = {
    clock, logger, transport, table, timings, random,
  };
  const gossip = createGossip(shared);
  newsListeners.add(gossip.add);
  const antiEntropy = createAntiEntropy(shared);
  const directory = store && createDirectory({ ...shared, store });

  const isAlone = () => table.reachable().length === 1;

  const ownAddress = options.self.controlAddress;

  const joinThrough = async (addresses: readonly string[]) => {
    const candidates = addresses.filter((address) => address !== ownAddress);
    for (const address of sample(candidates, JOIN_ADDRESSES, random)) {
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

  /** Seeds and lost members may be on the other side of a partition that has healed. */
  const retryLost = async () => {
    while (!signal.aborted) {
      await clock.sleep(timings.retryIntervalMs * (0.5 + random()), signal);
      const reachable = new Set(table.reachable().map(({ controlAddress }) => controlAddress));
      const missing = [...seeds, ...table.lost().map(({ controlAddress }) => controlAddress)]
        .filter((address) => address !== ownAddress && !reachable.has(address));
      const [address] = sample(missing, 1, random);
      if (address !== undefined && !signal.aborted) await antiEntropy.syncWith(address);
    }
  };

  const enterDirectory = async () => {
    await join();
    await directory?.enter(signal);
  };

  runProber({
    ...shared,
    gossip,
    merge: (updates) => {
      for (const update of updates) table.merge(update);
    },
  }, signal);
  antiEntropy.run(signal);
  retryLost();
  const entering = enterDirectory();

  const publish = () => {
    cancelPublish = undefined;
    publishedAtMs = clock.now();
    table.updateSelf({ instances: published });
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
      published = instances;
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
      for (let count = 0; count < LEAVE_PUSHES; count += 1) {
        gossip.flush();
        await clock.sleep(timings.pushIntervalMs);
      }
      const removal = entering.then(() => directory?.remove());
      await Promise.race([removal, clock.sleep(LEAVE_DIRECTORY_MS)]);
      await stop();
    },
    stop,
  };
};
