import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import type { MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';
import { bytesOf, createUpdateQueue } from './_update_queue.ts';

/** Passes news on: with probes, and by pushes to random members while there are any. */
export interface Gossip {
  /** Queues an update that is news to this node. */
  readonly add: (update: MemberUpdate) => void;
  /**
   * Updates for a message to `node`: this node's own, what it knows of the receiver when that is
   * not alive, and news.
   */
  readonly updatesFor: (node: string) => readonly MemberUpdate[];
  /** Pushes the news now, without regard to the budget. */
  readonly flush: () => void;
  readonly stop: () => void;
}

/** What gossip needs. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly table: MemberTable;
  readonly timings: MembershipTimings;
  readonly random: () => number;
}

/** Chooses up to `count` different elements at random. */
export const sample = <T>(
  elements: readonly T[],
  count: number,
  random: () => number,
): readonly T[] => {
  const rest = [...elements];
  const chosen: T[] = [];
  while (chosen.length < count && rest.length > 0) {
    const [element] = rest.splice(Math.floor(random() * rest.length), 1);
    chosen.push(element as T);
  }
  return chosen;
};

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
      for (const update of updates) budgetBytes -= bytesOf(update);
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
      // A member that hears of its suspicion refutes it.
      const isDoubted = receiver !== undefined && receiver.node !== self.node
        && receiver.state !== MemberState.MEMBER_STATE_ALIVE;
      const news = queue.take(table.reachable().length)
        .filter((update) => update.node !== self.node);
      return [self, ...(isDoubted ? [receiver] : []), ...news];
    },
    flush: push,
    stop: () => cancelPush?.(),
  };
};
