import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { type MemberDigest, MemberState, type MemberUpdate } from '../proto/mod.ts';
import { sample } from './_gossip.ts';
import { isNewer, isReachable, type MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';

/** Options for `createAntiEntropy`. */
export interface AntiEntropyOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly random: () => number;
}

/** Reconciles the whole member table with that of one other node at a time. */
export interface AntiEntropy {
  /** Syncs with the node at an address; returns whether it answered. */
  readonly syncWith: (address: string) => Promise<boolean>;
  /**
   * Syncs with one random member at a time until the signal aborts, first at short intervals that
   * double and then at a low rate.
   */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

const SYNC_TIMEOUT_MS = 2000;
const INITIAL_SYNC_INTERVAL_MS = 1000;
const JOIN_PHASE_MS = 30_000;
const MAX_UPDATES_PER_MESSAGE = 256;
const MAX_CLAIMS_PER_SYNC = 32;

const digestOf = ({
  node, incarnation, counter, state,
}: MemberUpdate): MemberDigest => ({
  node, incarnation, counter, state,
});

/** Creates the anti-entropy exchange and handles sync requests of other nodes. */
export const createAntiEntropy = (options: AntiEntropyOptions): AntiEntropy => {
  const {
    clock, transport, table, timings, random,
  } = options;

  const startedAtMs = clock.now();

  /** Sends claims that a member is lost to that member, so that it refutes them if it is alive. */
  const sendClaims = (claims: readonly MemberUpdate[]) => {
    for (const claim of sample(claims, MAX_CLAIMS_PER_SYNC, random)) {
      const address = table.get(claim.node)?.controlAddress;
      if (address) transport.send(address, { $case: 'pong', value: { updates: [claim] } });
    }
  };

  const mergeFromSync = (updates: readonly MemberUpdate[], shouldGossip: boolean) => {
    sendClaims(updates.filter((update) => table.mergeFromSync(update, shouldGossip) === 'claim'));
  };

  transport.handle('syncRequest', ({ digests }) => {
    const peerDigests = new Map(digests.map((digest) => [digest.node, digest]));
    const updates = table.all().filter((known) => {
      const digest = peerDigests.get(known.node);
      return digest === undefined ? isReachable(known) : isNewer(known, digest);
    });
    const wanted: string[] = [];
    const claims: MemberUpdate[] = [];
    for (const digest of digests) {
      const known = table.get(digest.node);
      const isLossClaim = MemberState.MEMBER_STATE_SUSPECT === digest.state
        || MemberState.MEMBER_STATE_DEAD === digest.state;
      if (known === undefined) {
        if (isReachable(digest)) wanted.push(digest.node);
      } else if (isNewer(digest, known)) {
        if (digest.node === table.self().node) table.merge({ ...known, ...digest });
        else if (isLossClaim && isReachable(known)) claims.push({ ...known, ...digest });
        else wanted.push(digest.node);
      }
    }
    sendClaims(claims);
    const reply = updates.map((update) => table.get(update.node) ?? update);
    return { $case: 'syncReply', value: { updates: reply, wanted } };
  });

  const syncWith: AntiEntropy['syncWith'] = async (address) => {
    // A joining node learns of all members; the others know them, so it does not gossip them.
    const isJoining = clock.now() - startedAtMs < JOIN_PHASE_MS;
    const digests = table.all().map(digestOf);
    const outcome = await transport.request(
      address,
      { $case: 'syncRequest', value: { digests } },
      { timeoutMs: SYNC_TIMEOUT_MS },
    );
    if (outcome.isErr() || outcome.value.$case !== 'syncReply') return false;
    const { updates, wanted } = outcome.value.value;
    mergeFromSync(updates, !isJoining);
    const known = wanted.flatMap((node) => table.get(node) ?? []);
    for (let start = 0; start < known.length; start += MAX_UPDATES_PER_MESSAGE) {
      const part = known.slice(start, start + MAX_UPDATES_PER_MESSAGE);
      transport.send(address, { $case: 'pong', value: { updates: part } });
    }
    return true;
  };

  return {
    syncWith,
    run: async (signal) => {
      // When many nodes start at the same time, the byte budget delays gossip about them. Early
      // syncs let them discover each other nevertheless.
      let earlyIntervalMs = INITIAL_SYNC_INTERVAL_MS;
      while (!signal.aborted) {
        const steadyIntervalMs = Math.max(
          timings.minSyncIntervalMs,
          table.reachable().length * timings.syncIntervalMsPerMember,
        );
        const intervalMs = Math.min(steadyIntervalMs, earlyIntervalMs);
        earlyIntervalMs *= 2;
        await clock.sleep(intervalMs * (0.5 + random()), signal);
        const [partner] = sample(
          table.reachable().filter(({ node }) => node !== table.self().node),
          1,
          random,
        );
        if (partner && !signal.aborted) await syncWith(partner.controlAddress);
      }
    },
  };
};
