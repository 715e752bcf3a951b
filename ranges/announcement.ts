import type { KeyRange } from './key_range.ts';

/** Keys that an instance holds, with the fencing token under which it got them. */
export interface HeldRange extends KeyRange {
  readonly token: number;
}

/** Keys that an instance has released; the handover spares the next holder a cold start. */
export interface ReleasedRange extends KeyRange {
  readonly handover: string;
}

/** What an instance says about itself to the node of its host. */
export interface Announcement {
  readonly instance: string;
  /** Start of the instance's process in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly address: string;
  readonly service: string;
  /** Requests that the instance runs at a time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Rises with each announcement of one process. */
  readonly sequence: number;
  /** Time in ms for which the instance is still slow after its start. */
  readonly coldMs: number;
  readonly held: readonly HeldRange[];
  readonly released: readonly ReleasedRange[];
}

/** Keys granted to an instance. */
export interface GrantedRange extends HeldRange {
  /** Handover of the former holder; empty without one. */
  readonly handover: string;
}

/** All that an instance may hold, and for how long from when it sent its announcement. */
export interface Grants {
  readonly ranges: readonly GrantedRange[];
  readonly holdMs: number;
}

/** Answer to an announcement. Without grants, the holds run on and none is renewed. */
export interface AnnouncementAnswer {
  readonly grants: Grants | undefined;
}
