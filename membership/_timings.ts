/** Durations and bounds of the gossip protocol. */
export interface MembershipTimings {
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  readonly indirectTimeoutMs: number;
  /** Suspicion lasts this many ms for each doubling of the number of members. */
  readonly suspicionMsPerDoubling: number;
  readonly minSuspicionMs: number;
  /** Pause between two pushes of new updates. */
  readonly pushIntervalMs: number;
  readonly pushFanOut: number;
  /** Refill and size of the budget of pushed bytes. */
  readonly pushBytesPerSecond: number;
  readonly pushBurstBytes: number;
  /** Anti-entropy interval: the larger of the minimum and the value per known member. */
  readonly minSyncIntervalMs: number;
  readonly syncIntervalMsPerMember: number;
  /** Pause between two attempts to reach a member that was lost. */
  readonly retryIntervalMs: number;
  /** After this time a dead member is forgotten. */
  readonly deadRetentionMs: number;
  /** Shortest pause between two publications of this node's instances. */
  readonly publishIntervalMs: number;
  readonly maxJoinBackoffMs: number;
}

// A push reaches 4 times as many nodes every 100 ms: 510 nodes in about 0.5 s.
// One digest takes about 45 bytes, so a sync at 510 members every 61 s costs 0.4 KB/s.
// Regions lose contact for an hour, so a lost member is remembered for longer than that.
export const DEFAULT_TIMINGS: MembershipTimings = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 250,
  indirectTimeoutMs: 500,
  suspicionMsPerDoubling: 2000,
  minSuspicionMs: 3000,
  pushIntervalMs: 100,
  pushFanOut: 3,
  pushBytesPerSecond: 2000,
  pushBurstBytes: 16_000,
  minSyncIntervalMs: 10_000,
  syncIntervalMsPerMember: 120,
  retryIntervalMs: 10_000,
  deadRetentionMs: 3 * 60 * 60 * 1000,
  publishIntervalMs: 1000,
  maxJoinBackoffMs: 15_000,
};
