import type { Result } from 'neverthrow';
import type { Owner } from '../placement/mod.ts';

/**
 * Why a key is not served here. `not-owner`: another node owns it. `moving`: a planned move is in
 * progress; wait for the next record.
 * `pending`: owned, but predecessors or the server's grant are not settled yet. `lapsed`: the lease
 * is not valid.
 * `unplaced`: no record, or nobody owns the slot.
 */
export interface NotOwned {
  readonly reason: 'not-owner' | 'moving' | 'pending' | 'lapsed' | 'unplaced';
  readonly owner: Owner | undefined;
  /** Version of the record that was consulted; 0 when there is none. */
  readonly version: number;
}

/** The right to run one request for a key. Release it when the request has ended. */
export interface OwnershipTicket {
  readonly service: string;
  readonly slot: number;
  readonly token: number;
  readonly version: number;
  /**
   * Monotonic time in ms at which this owner took the key over from another one; `undefined` when
   * it is the first owner. The former owner may have run requests that this one does not know.
   */
  readonly inheritedAt?: number;
  /**
   * Aborts when the lease lapses or the owner is removed; the request must be cancelled at the
   * upstream at once.
   */
  readonly signal: AbortSignal;
  readonly release: () => void;
}

/** Tells whether this node may serve a key now. */
export interface Ownership {
  /**
   * Checks and enters in one event-loop turn; call it in the same turn as the write to the
   * upstream.
   */
  readonly enter: (service: string, key: string) => Result<OwnershipTicket, NotOwned>;
}

/** The grants of the local upstream instance, where it checks them. */
export interface UpstreamGrants {
  readonly grant: (request: GrantRequest) => Promise<Result<void, Error>>;
  readonly revoke: (request: GrantRequest) => Promise<Result<void, Error>>;
}

/** A grant of slots or of hot keys under a fencing token. */
export interface GrantRequest {
  readonly service: string;
  readonly instance: string;
  readonly owner: string;
  readonly token: number;
  readonly slots: readonly number[];
  readonly hotKeys: readonly string[];
}
