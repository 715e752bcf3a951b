/** Intervals, timeouts and limits of the gossip protocol. */
export interface MembershipTimings {
  readonly probeIntervalMs: number;
  readonly probeTimeoutMs: number;
  readonly indirectTimeoutMs: number;
  /** Suspicion timeout in ms per doubling of the number of members. */
  readonly suspicionMsPerDoubling: number;
  readonly minSuspicionMs: number;
  /** Interval in ms between pushes of queued updates. */
  readonly pushIntervalMs: number;
  /** Number of members to which each push is sent. */
  readonly pushFanOut: number;
  /** Refill rate and capacity of the token bucket for pushed bytes. */
  readonly pushBytesPerSecond: number;
  readonly pushBurstBytes: number;
  /**
   * The anti-entropy interval is the larger of this minimum and `syncIntervalMsPerMember` times the
   * number of reachable members.
   */
  readonly minSyncIntervalMs: number;
  readonly syncIntervalMsPerMember: number;
  /** Mean interval in ms between attempts to reach a lost member or an unreachable seed. */
  readonly retryIntervalMs: number;
  /** Time in ms after which a member that died or left is removed. */
  readonly deadRetentionMs: number;
  /** Minimum interval in ms between publications of this node's instances. */
  readonly publishIntervalMs: number;
  readonly maxJoinBackoffMs: number;
}

/**
 * With a fan-out of 3, the number of nodes with an update grows fourfold every 100 ms, so pushes
 * reach 510 nodes in about 0.5 s. A digest takes about 45 bytes, so a sync with 510 members every
 * 61 s costs 0.4 KB/s. Regions can lose contact for an hour, so dead members are kept for longer.
 */
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
