import type { Result } from 'neverthrow';
import type { Owner } from '../placement/mod.ts';

/**
 * Why this node may not serve a key now.
 *
 * - `not-owner`: another node owns the key.
 * - `moving`: a planned move is in progress; wait for the next record.
 * - `pending`: this node owns the key, but the lease of a former owner has not ended yet or the
 *   upstream has not accepted the grant.
 * - `lapsed`: the lease of this node is not valid.
 * - `unplaced`: there is no placement record, or the slot has no owner.
 */
export interface OwnershipRefusal {
  readonly reason: 'not-owner' | 'moving' | 'pending' | 'lapsed' | 'unplaced';
  readonly owner: Owner | undefined;
  /** Version of the placement record that the check used; 0 without a record. */
  readonly version: number;
}

/** Permit to run one request for a key. Release it when the request has ended. */
export interface OwnershipPermit {
  readonly service: string;
  readonly slot: number;
  readonly token: number;
  readonly version: number;
  /**
   * Monotonic time in ms at which this owner received the key from another owner; `undefined` when
   * it is the first owner. The former owner may have run requests that this owner does not know of.
   */
  readonly transferredAtMs?: number;
  /**
   * Aborts when the lease ends or the owner is removed; cancel the request at the upstream
   * immediately then.
   */
  readonly signal: AbortSignal;
  readonly release: () => void;
}

/** Checks whether this node may serve a key now. */
export interface Ownership {
  /**
   * Checks ownership and lease synchronously. Call it in the same event-loop turn as the write to
   * the upstream, so that no other event is handled between the check and the dispatch.
   */
  readonly acquire: (service: string, key: string) => Result<OwnershipPermit, OwnershipRefusal>;
}

/** Sends ownership grants to a local upstream instance that checks fencing tokens. */
export interface UpstreamGrants {
  readonly grant: (request: GrantRequest) => Promise<Result<void, Error>>;
  readonly revoke: (request: GrantRequest) => Promise<Result<void, Error>>;
}

/** A grant of slots and hot keys to an owner under a fencing token. */
export interface GrantRequest {
  readonly service: string;
  readonly instance: string;
  readonly owner: string;
  readonly token: number;
  readonly slots: readonly number[];
  readonly hotKeys: readonly string[];
}
