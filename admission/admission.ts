import type { Result } from 'neverthrow';
import type { RequestClass } from '../contract/mod.ts';
import type { RefusalError } from '../errors/mod.ts';

/** A request for a concurrency slot of the instance. */
export interface AdmissionRequest {
  readonly requestClass: RequestClass;
  readonly customer: string;
  /** Weight of the customer in fair queueing, from its contract. */
  readonly share: number;
  /** Monotonic time in ms by which the response must have started. */
  readonly deadlineAt: number;
  /** Aborts when the caller cancels or disconnects. */
  readonly signal: AbortSignal;
}

/** How a request ended. `overload`: the upstream refused it as overloaded or timed out. */
export type PermitOutcome = 'success' | 'failure' | 'overload' | 'cancelled';

/** One occupied slot; the holder must release it. */
export interface Permit {
  /** Time in ms that the request spent in the queue. */
  readonly queuedMs: number;
  readonly release: (outcome: PermitOutcome) => void;
}

/** Load of the instance, as measured by the sidecar. */
export interface AdmissionLoad {
  readonly inFlight: number;
  readonly queued: number;
  /** Current concurrency limit, in slots. */
  readonly limit: number;
  /** Estimated requests per second that the instance can serve; 0 when not known yet. */
  readonly serviceRate: number;
  /** Absent while the instance takes what it is sent. */
  readonly excess?: ExcessDemand;
}

/** Fractions of the requests, from 0 to less than 1, that senders are to withhold. */
export interface ExcessDemand {
  /** Of those that can meet their latency target. */
  readonly timely: number;
  /** Of those that cannot meet it any more. */
  readonly late: number;
  /** Fraction of the nested calls of the instance's runs that find no room; 0 if absent. */
  readonly callFailures?: number;
}

/** Admits requests to the local instance, queues them, or refuses them. */
export interface Admission {
  /** Resolves to a permit once a slot is free, or to a refusal. */
  readonly acquire: (request: AdmissionRequest) => Promise<Result<Permit, RefusalError>>;
  readonly load: () => AdmissionLoad;
}
