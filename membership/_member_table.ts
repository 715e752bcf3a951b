import type { CancelTask, Clock } from '../clock/mod.ts';
import { type MemberDigest, MemberState, type MemberUpdate } from '../proto/mod.ts';

/**
 * Result of a merge. `claim`: the update says that a member is suspected or dead, but this node
 * considers it reachable, so the update was not applied.
 */
export type MergeOutcome = 'accepted' | 'ignored' | 'claim';

/** The known members and their states, including this node. */
export interface MemberTable {
  readonly self: () => MemberUpdate;
  readonly get: (node: string) => MemberUpdate | undefined;
  /** Returns the members that are alive or suspected, including this node. */
  readonly reachable: () => readonly MemberUpdate[];
  /** Returns the members that are dead and did not leave. */
  readonly lost: () => readonly MemberUpdate[];
  /** Returns all known members, including this node. */
  readonly all: () => readonly MemberUpdate[];
  /** Merges an update and gossips it if it is newer than what is known. */
  readonly merge: (update: MemberUpdate) => MergeOutcome;
  /**
   * Merges an update from an anti-entropy exchange. The other node's table may be outdated after a
   * partition, so a member that it considers lost is only returned as a claim.
   */
  readonly mergeFromSync: (update: MemberUpdate, shouldGossip: boolean) => MergeOutcome;
  /** Marks a member as suspected; it becomes dead unless it refutes this in time. */
  readonly suspect: (member: MemberUpdate) => void;
  /** Changes the entry of this node and increases its counter. */
  readonly updateSelf: (change: Partial<MemberUpdate>) => void;
  readonly stop: () => void;
}

/** Options for `createMemberTable`. */
export interface MemberTableOptions {
  readonly clock: Clock;
  readonly self: MemberUpdate;
  /** Returns the suspicion timeout in ms for a number of members. */
  readonly suspicionMs: (members: number) => number;
  /** Time in ms after which a member that died or left is removed. */
  readonly deadRetentionMs: number;
  /** Called after each change; `shouldGossip` is true if the update should be disseminated. */
  readonly onChange: (update: MemberUpdate, shouldGossip: boolean) => void;
}

interface Row {
  readonly update: MemberUpdate;
  readonly cancel: CancelTask;
}

const MAX_MEMBERS = 4096;

const {
  MEMBER_STATE_ALIVE, MEMBER_STATE_SUSPECT, MEMBER_STATE_DEAD, MEMBER_STATE_LEFT,
} = (
  MemberState
);

/** Returns whether a member is alive or suspected. */
export const isReachable = ({ state }: MemberDigest) => (
  state === MEMBER_STATE_ALIVE || state === MEMBER_STATE_SUSPECT
);

/** Returns whether `update` supersedes the known state of the same node. */
export const isNewer = (update: MemberDigest, known: MemberDigest): boolean => {
  const isSameProcess = update.incarnation === known.incarnation;
  if (isSameProcess && known.state === MEMBER_STATE_LEFT) return false;
  if (update.counter !== known.counter) return update.counter > known.counter;
  return isSameProcess ? update.state > known.state : update.incarnation > known.incarnation;
};

const isWellFormed = ({
  node, incarnation, controlAddress, state,
}: MemberUpdate) => (
  node !== '' && incarnation !== '' && controlAddress !== ''
  && state >= MEMBER_STATE_ALIVE && state <= MEMBER_STATE_LEFT
);

/** Creates a table that contains only this node. */
export const createMemberTable = (options: MemberTableOptions): MemberTable => {
  const { clock } = options;
  const rows = new Map<string, Row>();
  let { self } = options;

  const others = () => [...rows.values()].map(({ update }) => update);

  const setSelf = (update: MemberUpdate) => {
    self = update;
    options.onChange(self, true);
  };

  /** Refutes a wrong update about this node by raising this node's counter above the update's. */
  const refute = (update: MemberDigest): MergeOutcome => {
    const isSameProcess = update.incarnation === self.incarnation;
    const matchesSelf = isSameProcess
      && update.counter === self.counter
      && update.state === self.state;
    if (self.state === MEMBER_STATE_LEFT || matchesSelf || update.counter < self.counter) {
      return 'ignored';
    }
    setSelf({ ...self, counter: update.counter + 1 });
    return 'accepted';
  };

  const setRow = (update: MemberUpdate, shouldGossip: boolean) => {
    rows.get(update.node)?.cancel();
    let cancel: CancelTask = () => undefined;
    if (update.state === MEMBER_STATE_SUSPECT) {
      cancel = clock.schedule(options.suspicionMs(rows.size + 1), () => {
        setRow({ ...update, state: MEMBER_STATE_DEAD }, true);
      });
    } else if (!isReachable(update)) {
      cancel = clock.schedule(options.deadRetentionMs, () => rows.delete(update.node));
    }
    rows.set(update.node, { update, cancel });
    options.onChange(update, shouldGossip);
  };

  const merge = (update: MemberUpdate, shouldGossip = true): MergeOutcome => {
    if (!isWellFormed(update)) return 'ignored';
    if (update.node === self.node) return refute(update);
    const known = rows.get(update.node)?.update;
    if (known === undefined && (!isReachable(update) || rows.size >= MAX_MEMBERS)) return 'ignored';
    if (known !== undefined && !isNewer(update, known)) return 'ignored';
    setRow(update, shouldGossip);
    return 'accepted';
  };

  return {
    self: () => self,
    get: (node) => (node === self.node ? self : rows.get(node)?.update),
    reachable: () => [self, ...others().filter(isReachable)],
    lost: () => others().filter(({ state }) => state === MEMBER_STATE_DEAD),
    all: () => [self, ...others()],
    merge: (update) => merge(update),
    mergeFromSync: (update, shouldGossip) => {
      const known = rows.get(update.node)?.update;
      const isLossClaim = update.state === MEMBER_STATE_SUSPECT
        || update.state === MEMBER_STATE_DEAD;
      if (known === undefined || !isLossClaim || !isReachable(known) || !isNewer(update, known)) {
        return merge(update, shouldGossip);
      }
      return 'claim';
    },
    suspect: (member) => {
      merge({ ...member, state: MEMBER_STATE_SUSPECT });
    },
    updateSelf: (change) => setSelf({ ...self, ...change, counter: self.counter + 1 }),
    stop: () => {
      for (const { cancel } of rows.values()) cancel();
    },
  };
};
