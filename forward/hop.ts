import type { Readable } from 'node:stream';
import type { AdmissionLoad } from '../admission/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import type { RefusalError, StepError } from '../errors/mod.ts';

/**
 * What to do with a response after its head: `drain` reads the body for a short time and discards
 * it, `hold` reads it until the deadline, for a later delivery.
 */
export type ResponseAction = 'deliver' | 'hold' | 'drain' | 'cancel';

/** Receives a response while it arrives. */
export interface ResponseSink {
  /**
   * Called with the head of the final response; `headers` are end-to-end names and values in turn.
   * The head is sent with the first part of the body or at the end, so that the head of another
   * response can replace it if this one fails before.
   */
  readonly start: (status: number, headers: string[]) => ResponseAction;
  /** Returns false when the sink is full; wait for the callback given to `onDrain`. */
  readonly write: (chunk: Buffer) => boolean;
  readonly onDrain: (resume: () => void) => void;
  /** Returns the number of accepted bytes that are not sent yet; missing if none are kept. */
  readonly unsentBytes?: () => number;
  /** Sends a started head before its body; another response cannot replace it any more. */
  readonly flushHead?: () => void;
  /** Called when the response is complete. */
  readonly end: () => void;
  /**
   * Called with each part of the body of a response for which `start` returned `hold`; returns
   * false if there is no room for it, so that the rest is discarded.
   */
  readonly hold?: (chunk: Buffer) => boolean;
  /** Called when a response for which `start` returned `hold` is complete. */
  readonly held?: () => void;
}

/** One attempt to send a request to an instance. */
export interface HopRequest {
  readonly requestId: string;
  /** Number of the attempt within the request, from 1. */
  readonly attempt: number;
  readonly customer: string;
  /** Weight of the customer in fair queueing, from its contract. */
  readonly share: number;
  readonly requestClass: RequestClass;
  readonly service: string;
  readonly key: string | undefined;
  readonly instance: string;
  /** Version of the placement record that the routing decision is based on. */
  readonly version: number;
  /** Deadline, in ms of the monotonic clock, for the head of the response. */
  readonly deadlineAt: number;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Readable | null;
  /** Aborts when the response is no longer needed. */
  readonly signal: AbortSignal;
}

/**
 * Result of an attempt. `refused`: nothing was delivered to the sink. `truncated`: the response
 * failed after delivery had begun.
 */
export type AttemptResult = AnsweredResult | RefusedResult | TruncatedResult;

/** The complete response was delivered. */
export interface AnsweredResult {
  readonly kind: 'answered';
  readonly status: number;
  readonly load: AdmissionLoad | undefined;
}

/** No part of a response was delivered. */
export interface RefusedResult {
  readonly kind: 'refused';
  readonly refusal: RefusalError;
  readonly load: AdmissionLoad | undefined;
  /** True if the receiver did not respond in time. */
  readonly timedOut: boolean;
}

/** The response was delivered only in part. */
export interface TruncatedResult {
  readonly kind: 'truncated';
  readonly error: StepError;
}

/** Timeouts without progress by request class, in ms. */
export type ProgressTimeouts = Readonly<Record<RequestClass, number>>;

/**
 * Timeouts without progress until the head of a response, in ms. A live receiver sends interim
 * responses at a third of the timeout while a request is queued or running, so the timeouts need
 * not cover the duration of a request.
 */
export const HEAD_PROGRESS_TIMEOUT_MS: ProgressTimeouts = {
  check: 500, lookup: 1000, submission: 2000, bulk: 3000,
};

/** Timeouts without progress of a response body, in ms. */
export const BODY_PROGRESS_TIMEOUT_MS: ProgressTimeouts = {
  check: 2000, lookup: 5000, submission: 10_000, bulk: 15_000,
};
