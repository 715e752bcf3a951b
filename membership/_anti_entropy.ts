import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { type MemberDigest, MemberState, type MemberUpdate } from '../proto/mod.ts';
import { sample } from './_gossip.ts';
import { isNewer, isReachable, type MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';

/** What the anti-entropy exchange needs. */
export interface AntiEntropyOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly random: () => number;
}

/** Compares the whole table with that of one other node. */
export interface AntiEntropy {
  /** Returns whether the node at the address answered. */
  readonly syncWith: (address: string) => Promise<boolean>;
  /**
   * Syncs with one random member, often after the start and then at a low rate, until the signal
   * aborts.
   */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

const SYNC_TIMEOUT_MS = 2000;
const FIRST_SYNC_INTERVAL_MS = 1000;
const JOIN_DURATION_MS = 30_000;
const MAX_UPDATES_PER_MESSAGE = 256;
const MAX_CLAIMS_PER_SYNC = 32;

const digestOf = ({
  node, incarnation, counter, state,
}: MemberUpdate): MemberDigest => ({
  node, incarnation, counter, state,
});

export const createAntiEntropy = (options: AntiEntropyOptions): AntiEntropy => {
  const {
    clock, transport, table, timings, random,
  } = options;

  const startedAtMs = clock.now();

  /** Tells a member that it is called lost, so that it refutes this if it is alive. */
  const passOn = (claims: readonly MemberUpdate[]) => {
    for (const claim of sample(claims, MAX_CLAIMS_PER_SYNC, random)) {
      const address = table.get(claim.node)?.controlAddress;
      if (address) transport.send(address, { $case: 'pong', value: { updates: [claim] } });
    }
  };

  const mergeView = (updates: readonly MemberUpdate[], isNews: boolean) => {
    passOn(updates.filter((update) => table.mergeView(update, isNews) === 'claim'));
  };

  transport.handle('syncRequest', ({ digests }) => {
    const theirs = new Map(digests.map((digest) => [digest.node, digest]));
    const updates = table.all().filter((known) => {
      const digest = theirs.get(known.node);
      return digest === undefined ? isReachable(known) : isNewer(known, digest);
    });
    const wanted: string[] = [];
    const claims: MemberUpdate[] = [];
    for (const digest of digests) {
      const known = table.get(digest.node);
      const isLoss = MemberState.MEMBER_STATE_SUSPECT === digest.state
        || MemberState.MEMBER_STATE_DEAD === digest.state;
      if (known === undefined) {
        if (isReachable(digest)) wanted.push(digest.node);
      } else if (isNewer(digest, known)) {
        if (digest.node === table.self().node) table.merge({ ...known, ...digest });
        else if (isLoss && isReachable(known)) claims.push({ ...known, ...digest });
        else wanted.push(digest.node);
      }
    }
    passOn(claims);
    const reply = updates.map((update) => table.get(update.node) ?? update);
    return { $case: 'syncReply', value: { updates: reply, wanted } };
  });

  const syncWith: AntiEntropy['syncWith'] = async (address) => {
    // A node that joins learns of all members; this is no news to the others.
    const isJoining = clock.now() - startedAtMs < JOIN_DURATION_MS;
    const digests = table.all().map(digestOf);
    const outcome = await transport.request(
      address,
      { $case: 'syncRequest', value: { digests } },
      { timeoutMs: SYNC_TIMEOUT_MS },
    );
    if (outcome.isErr() || outcome.value.$case !== 'syncReply') return false;
    const { updates, wanted } = outcome.value.value;
    mergeView(updates, !isJoining);
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
      // Where many nodes start together, the byte budget holds the news of them back. Early syncs
      // let them find each other nevertheless.
      let earlyIntervalMs = FIRST_SYNC_INTERVAL_MS;
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
