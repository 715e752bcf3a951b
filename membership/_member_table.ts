import type { CancelTask, Clock } from '../clock/mod.ts';
import { type MemberDigest, MemberState, type MemberUpdate } from '../proto/mod.ts';

/** `claim`: the update calls a member lost that this node believes alive. */
export type MergeOutcome = 'accepted' | 'ignored' | 'claim';

/** What this node knows of the members, itself included. */
export interface MemberTable {
  readonly self: () => MemberUpdate;
  readonly get: (node: string) => MemberUpdate | undefined;
  /** Members that are alive or suspected. */
  readonly reachable: () => readonly MemberUpdate[];
  /** Members that are dead and did not leave. */
  readonly lost: () => readonly MemberUpdate[];
  readonly all: () => readonly MemberUpdate[];
  readonly merge: (update: MemberUpdate) => MergeOutcome;
  /**
   * Merges what a partner of an anti-entropy exchange knows. Its view may be an old one from the
   * other side of a partition, so that a lost member is only reported as a claim.
   */
  readonly mergeView: (update: MemberUpdate, isNews: boolean) => MergeOutcome;
  readonly suspect: (member: MemberUpdate) => void;
  /** Changes what this node tells of itself. */
  readonly updateSelf: (change: Partial<MemberUpdate>) => void;
  readonly stop: () => void;
}

/** What a table needs. */
export interface MemberTableOptions {
  readonly clock: Clock;
  readonly self: MemberUpdate;
  readonly suspicionMs: (members: number) => number;
  readonly deadRetentionMs: number;
  /** `isNews`: the update should be passed on. */
  readonly onChange: (update: MemberUpdate, isNews: boolean) => void;
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

export const isReachable = ({ state }: MemberDigest) => (
  state === MEMBER_STATE_ALIVE || state === MEMBER_STATE_SUSPECT
);

/** Returns true when `update` is newer than what is known of the same node. */
export const isNewer = (update: MemberDigest, known: MemberDigest): boolean => {
  const sameProcess = update.incarnation === known.incarnation;
  if (sameProcess && known.state === MEMBER_STATE_LEFT) return false;
  if (update.counter !== known.counter) return update.counter > known.counter;
  return sameProcess ? update.state > known.state : update.incarnation > known.incarnation;
};

const isWellFormed = ({
  node, incarnation, controlAddress, state,
}: MemberUpdate) => (
  node !== '' && incarnation !== '' && controlAddress !== ''
  && state >= MEMBER_STATE_ALIVE && state <= MEMBER_STATE_LEFT
);

export const createMemberTable = (options: MemberTableOptions): MemberTable => {
  const { clock } = options;
  const rows = new Map<string, Row>();
  let { self } = options;

  const others = () => [...rows.values()].map(({ update }) => update);

  const setSelf = (update: MemberUpdate) => {
    self = update;
    options.onChange(self, true);
  };

  /** Contradicts what others say about this node by a counter above theirs. */
  const refute = (update: MemberDigest): MergeOutcome => {
    const isOwn = update.incarnation === self.incarnation;
    const isTrue = isOwn && update.counter === self.counter && update.state === self.state;
    if (self.state === MEMBER_STATE_LEFT || isTrue || update.counter < self.counter) {
      return 'ignored';
    }
    setSelf({ ...self, counter: update.counter + 1 });
    return 'accepted';
  };

  const store = (update: MemberUpdate, isNews: boolean) => {
    rows.get(update.node)?.cancel();
    let cancel: CancelTask = () => undefined;
    if (update.state === MEMBER_STATE_SUSPECT) {
      cancel = clock.schedule(options.suspicionMs(rows.size + 1), () => {
        store({ ...update, state: MEMBER_STATE_DEAD }, true);
      });
    } else if (!isReachable(update)) {
      cancel = clock.schedule(options.deadRetentionMs, () => rows.delete(update.node));
    }
    rows.set(update.node, { update, cancel });
    options.onChange(update, isNews);
  };

  const merge = (update: MemberUpdate, isNews = true): MergeOutcome => {
    if (!isWellFormed(update)) return 'ignored';
    if (update.node === self.node) return refute(update);
    const known = rows.get(update.node)?.update;
    if (known === undefined && (!isReachable(update) || rows.size >= MAX_MEMBERS)) return 'ignored';
    if (known !== undefined && !isNewer(update, known)) return 'ignored';
    store(update, isNews);
    return 'accepted';
  };

  return {
    self: () => self,
    get: (node) => (node === self.node ? self : rows.get(node)?.update),
    reachable: () => [self, ...others().filter(isReachable)],
    lost: () => others().filter(({ state }) => state === MEMBER_STATE_DEAD),
    all: () => [self, ...others()],
    merge: (update) => merge(update),
    mergeView: (update, isNews) => {
      const known = rows.get(update.node)?.update;
      const isLoss = update.state === MEMBER_STATE_SUSPECT || update.state === MEMBER_STATE_DEAD;
      if (known === undefined || !isLoss || !isReachable(known) || !isNewer(update, known)) {
        return merge(update, isNews);
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
