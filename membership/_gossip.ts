import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';
import { createUpdateQueue, encodedSize } from './_update_queue.ts';

/** Disseminates member updates: piggybacked on probes, and pushed to random members. */
export interface Gossip {
  /** Queues an update for dissemination. */
  readonly add: (update: MemberUpdate) => void;
  /**
   * Returns the updates to piggyback on a message to `node`: the state of this node, the known
   * state of the receiver if that is not alive, and queued updates.
   */
  readonly updatesFor: (node: string) => readonly MemberUpdate[];
  /** Pushes queued updates now, regardless of the byte budget. */
  readonly flush: () => void;
  readonly stop: () => void;
}

/** Options for `createGossip`. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly random: () => number;
}

/** Samples up to `count` elements at random without replacement. */
export const sample = <T>(
  elements: readonly T[],
  count: number,
  random: () => number,
): readonly T[] => {
  const remaining = [...elements];
  const chosen: T[] = [];
  while (chosen.length < count && remaining.length > 0) {
    const [element] = remaining.splice(Math.floor(random() * remaining.length), 1);
    chosen.push(element as T);
  }
  return chosen;
};

/** Creates a gossip with an empty queue and a full byte budget. */
export const createGossip = (options: GossipOptions): Gossip => {
  const {
    clock, transport, table, timings, random,
  } = options;
  const queue = createUpdateQueue();
  let budgetBytes = timings.pushBurstBytes;
  let refilledAtMs = clock.now();
  let cancelPush: (() => void) | undefined;

  const others = () => table.reachable().filter(({ node }) => node !== table.self().node);

  const push = () => {
    for (const member of sample(others(), timings.pushFanOut, random)) {
      const updates = queue.take(table.reachable().length);
      if (updates.length === 0) return;
      for (const update of updates) budgetBytes -= encodedSize(update);
      transport.send(member.controlAddress, { $case: 'pong', value: { updates } });
    }
  };

  const schedulePush = () => {
    if (cancelPush !== undefined || queue.isEmpty() || others().length === 0) return;
    cancelPush = clock.schedule(timings.pushIntervalMs, () => {
      cancelPush = undefined;
      const elapsedMs = clock.now() - refilledAtMs;
      refilledAtMs = clock.now();
      budgetBytes = Math.min(
        timings.pushBurstBytes,
        budgetBytes + (elapsedMs * timings.pushBytesPerSecond) / 1000,
      );
      if (budgetBytes > 0) push();
      schedulePush();
    });
  };

  return {
    add: (update) => {
      queue.add(update);
      schedulePush();
    },
    updatesFor: (node) => {
      const self = table.self();
      const receiver = table.get(node);
      // A member that learns that it is suspected or dead refutes this.
      const isSubjectOfClaim = receiver !== undefined && receiver.node !== self.node
        && receiver.state !== MemberState.MEMBER_STATE_ALIVE;
      const pending = queue.take(table.reachable().length)
        .filter((update) => update.node !== self.node);
      return [self, ...(isSubjectOfClaim ? [receiver] : []), ...pending];
    },
    flush: push,
    stop: () => cancelPush?.(),
  };
};
