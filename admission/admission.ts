import type { Result } from 'neverthrow';
import type { RequestClass } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** A request that asks for a slot of the instance. */
export interface AdmissionRequest {
  readonly requestClass: RequestClass;
  readonly customer: string;
  /** Weight of the customer in fair queueing, from its contract. */
  readonly share: number;
  /** Monotonic time in ms by which the answer must have begun. */
  readonly deadlineAt: number;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

/** How a request ended. `overload`: the upstream shed it or timed out. */
export type PermitOutcome = 'success' | 'failure' | 'overload' | 'cancelled';

/** One occupied slot. */
export interface Permit {
  readonly queuedMs: number;
  readonly release: (outcome: PermitOutcome) => void;
}

/** Load of the instance as the sidecar counts it. */
export interface AdmissionLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Measured requests per second that the instance can serve; 0 when not known yet. */
  readonly serviceRate: number;
}

/** Decides when a request may go to the local instance. */
export interface Admission {
  readonly acquire: (request: AdmissionRequest) => Promise<Result<Permit, RefusalError>>;
  readonly load: () => AdmissionLoad;
}
