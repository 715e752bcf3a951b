import type { KeyRange } from './key_range.ts';

/** Keys that an instance holds, with the fencing token of their grant. */
export interface HeldRange extends KeyRange {
  readonly token: number;
}

/** Keys that an instance has released; the handover data spares the next holder a cold start. */
export interface ReleasedRange extends KeyRange {
  readonly handover: string;
}

/** Periodic heartbeat in which an instance reports its state to the node of its host. */
export interface Announcement {
  readonly instance: string;
  /** Start of the instance's process, in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly address: string;
  readonly service: string;
  /** Number of requests that the instance runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Increases with each announcement of one process. */
  readonly sequence: number;
  /** Remaining warm-up time in ms, during which the instance is slower than usual. */
  readonly coldMs: number;
  readonly held: readonly HeldRange[];
  readonly released: readonly ReleasedRange[];
}

/** Keys granted to an instance. */
export interface GrantedRange extends HeldRange {
  /** Opaque handover data from the previous holder; empty if there is none. */
  readonly handover: string;
}

/**
 * The complete set of ranges that an instance may hold. A hold is a lease: it ends `holdMs` after
 * the instance sent the announcement unless a later answer renews it.
 */
export interface Grants {
  readonly ranges: readonly GrantedRange[];
  readonly holdMs: number;
}

/** Answer to an announcement. Without grants, existing holds continue but are not renewed. */
export interface AnnouncementAnswer {
  readonly grants: Grants | undefined;
}
