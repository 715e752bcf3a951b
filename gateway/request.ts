import type { RequestClass, RouteKind } from '../contract/mod.ts';
import type { RefusalError, StepError } from '../errors/mod.ts';

/** A request with less time in ms to its deadline cannot be sent again after a refusal. */
export const MIN_RETURN_MS = 500;

/** A request to be sent to an instance. Times are monotonic, in ms. */
export interface GatewayRequest {
  readonly requestId: string;
  readonly service: string;
  readonly kind: RouteKind;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** A running request made this one, holds a slot meanwhile and fails without the response. */
  readonly isNestedCall?: boolean;
  /** Another node received the request from its caller. */
  readonly isFromPeer?: boolean;
  /** Groups requests with similar processing times. */
  readonly workClass: string;
  /** Key of a request to a keyed service; undefined for other services. */
  readonly key: number | undefined;
  /** Instance that the sender chose; the receiving node may host another one by now. */
  readonly instance: string | undefined;
  readonly method: string;
  /** Path with the query string. */
  readonly path: string;
  /** End-to-end headers, as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Time by which the response must have begun. */
  readonly deadlineAt: number;
  /** Time of the route's latency target; in the past for a retry that came too late to meet it. */
  readonly latencyTargetAt: number;
  /** The caller is retrying after a refusal, so the request does not count as new demand. */
  readonly isCallerRetry: boolean;
  /** Requests for the same target that the sending node withheld since its last one. */
  readonly withheld: number;
  /** The throttle of the target has let the request pass. */
  readonly isAdmitted?: boolean;
  /** Aborts when the caller no longer waits for the response. */
  readonly signal: AbortSignal;
}

/** Parts of the duration of an attempt at the node of the instance, in ms. */
export interface AttemptTiming {
  /** Wait for a slot of the instance. */
  readonly queuedMs: number;
  /** Time from the start at the instance to the end of its response. */
  readonly runMs: number;
}

/**
 * How an attempt ended. `answered`: the response was delivered. `failed`: the instance returned an
 * error that was not delivered, so that another attempt can be made. `refused`: nothing was
 * delivered. `truncated`: the response was cut off after its delivery had begun.
 */
export type AttemptOutcome = | {
  readonly kind: 'answered';
  readonly status: number;
  /** Known at the node of the instance only. */
  readonly timing?: AttemptTiming;
}
  | { readonly kind: 'failed'; readonly status: number }
  | {
    readonly kind: 'refused';
    readonly refusal: RefusalError;
    /** An instance received the request, so it counts against the maximum number of sends. */
    readonly reachedInstance: boolean;
  }
  | { readonly kind: 'truncated'; readonly error: StepError };

/** Returns why a request was not answered, for the log. */
export const failureReason = (
  outcome: Exclude<AttemptOutcome, { kind: 'answered' }>,
): string => {
  if (outcome.kind === 'truncated') return outcome.error.message;
  if (outcome.kind === 'failed') return `an instance failed with ${outcome.status}`;
  return outcome.refusal.message;
};

/** Request class in the routing statistics, by kind of route. */
export const requestClassByKind: Readonly<Record<RouteKind, RequestClass>> = {
  safe: 'lookup', unsafe: 'submission', download: 'bulk',
};

/** Returns whether responses of this kind are large. */
export const isBulk = (kind: RouteKind): boolean => kind === 'download';

/** Returns whether requests of this kind may safely run more than once. */
export const isIdempotent = (kind: RouteKind): boolean => kind !== 'unsafe';
