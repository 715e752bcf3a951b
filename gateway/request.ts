import type { RequestClass, RouteKind } from '../contract/mod.ts';
import type { RefusalError, StepError } from '../errors/mod.ts';

/** Rank of the calls that running requests make. */
export const CALL_PRIORITY = 0;

/** One request on its way to an instance; times are monotonic in ms. */
export interface GatewayRequest {
  readonly requestId: string;
  readonly service: string;
  readonly kind: RouteKind;
  /** Rank of the request; 0 is the highest. */
  readonly priority: number;
  /** Requests of one work class take about the same time. */
  readonly workClass: string;
  /** Key of the request at a keyed service. */
  readonly key: number | undefined;
  /** Instance that the sender chose; another one may be beside the node by now. */
  readonly instance: string | undefined;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Time by which the answer must have begun. */
  readonly deadlineAt: number;
  /** Time by which the answer has its full worth; past for a caller that returned too late. */
  readonly targetAt: number;
  /** The caller was refused before, so that this is not further demand. */
  readonly hasReturned: boolean;
  /** Aborts when the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/**
 * How an attempt ended. `refused`: nothing was delivered. `failed`: the instance answered with a
 * failure that was not delivered, so that another attempt can be made.
 */
export type AttemptOutcome = | { readonly kind: 'answered'; readonly status: number }
  | { readonly kind: 'failed'; readonly status: number }
  | {
    readonly kind: 'refused';
    readonly refusal: RefusalError;
    /** An instance received the request, so the attempt counts as a send. */
    readonly reached: boolean;
  }
  | { readonly kind: 'truncated'; readonly error: StepError };

/** Classes of the routing statistics by kind of route. */
export const classOfKind: Readonly<Record<RouteKind, RequestClass>> = {
  safe: 'lookup', unsafe: 'submission', download: 'bulk',
};

/** Tells whether a request may run more than once. */
export const isRepeatable = (kind: RouteKind): boolean => kind !== 'unsafe';
