import type { Readable } from 'node:stream';
import type { AdmissionLoad } from '../admission/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import type { RefusalError, StepError } from '../errors/mod.ts';

/** What becomes of an answer whose head has arrived: `drain` reads its body and ignores it. */
export type AnswerUse = 'deliver' | 'drain' | 'cancel';

/** Receives an answer as it arrives. */
export interface AnswerSink {
  /**
   * Called once for the final status; headers are end-to-end names and values in turn.
   * `endsWithConnection`: the answer has no length, so that its end is that of its connection.
   */
  readonly start: (status: number, headers: string[], endsWithConnection?: boolean) => AnswerUse;
  /** Returns false when the sink is full; `onDrain` then tells when to go on. */
  readonly write: (chunk: Buffer) => boolean;
  readonly onDrain: (resume: () => void) => void;
  /** The answer is complete. */
  readonly end: () => void;
}

/** One attempt of a request on its way to an instance. */
export interface HopRequest {
  readonly requestId: string;
  readonly attempt: number;
  readonly customer: string;
  readonly share: number;
  readonly requestClass: RequestClass;
  readonly service: string;
  readonly key: string | undefined;
  readonly instance: string;
  /** Version of the placement record by which the instance was chosen. */
  readonly version: number;
  /** Monotonic time in ms by which the answer must have begun. */
  readonly deadlineAt: number;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Readable | null;
  /** Aborts when the answer is no longer wanted. */
  readonly signal: AbortSignal;
}

/**
 * How an attempt ended. `refused`: nothing was delivered to the sink. `truncated`: the answer broke
 * off after it had begun.
 */
export type AttemptEnd = AnsweredEnd | RefusedEnd | TruncatedEnd;

/** The whole answer was delivered. */
export interface AnsweredEnd {
  readonly kind: 'answered';
  readonly status: number;
  readonly load: AdmissionLoad | undefined;
}

/** No part of an answer was delivered. */
export interface RefusedEnd {
  readonly kind: 'refused';
  readonly refusal: RefusalError;
  readonly load: AdmissionLoad | undefined;
  /** The receiver did not answer in time. */
  readonly timedOut: boolean;
}

/** The answer broke off. */
export interface TruncatedEnd {
  readonly kind: 'truncated';
  readonly error: StepError;
}

/** Times in ms without progress after which a hop counts as silent. */
export type ProgressTimeouts = Readonly<Record<RequestClass, number>>;

/**
 * A receiver that is alive sends an interim answer at a third of this time while the request waits
 * or runs, so these times need not cover the duration of a request.
 */
export const HOP_PROGRESS_TIMEOUT_MS: ProgressTimeouts = {
  check: 500, lookup: 1000, submission: 2000, bulk: 3000,
};

/** Times in ms without a byte of a begun answer. */
export const BODY_PROGRESS_TIMEOUT_MS: ProgressTimeouts = {
  check: 2000, lookup: 5000, submission: 10_000, bulk: 15_000,
};
