import type { Readable } from 'node:stream';
import type { Clock } from '../clock/mod.ts';

/** An HTTP request to send over a connection pool. */
export interface ExchangeRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Readable | Buffer | null;
}

/** Timeouts, cancellation and checks of an exchange. */
export interface ExchangeOptions {
  readonly clock: Clock;
  /** Cancels the request. */
  readonly signal: AbortSignal;
  /** Deadline, in ms of the monotonic clock, for the head of the final response. */
  readonly deadlineAt: number;
  /** Deadline for the end of the response; without it, a body may take any time. */
  readonly endDeadlineAt?: number;
  /** Aborts when the lease under which the request runs expires. */
  readonly leaseExpiry?: AbortSignal;
  /** Timeout in ms without progress before the final head; interim responses count as progress. */
  readonly headProgressTimeoutMs: number;
  /**
   * Called at each timeout before the final head with the time of the last progress. Without it,
   * or if it returns true, the timeout fails the exchange.
   */
  readonly onSilent?: (since: number) => boolean | undefined;
  /** Called when a head, interim or final, or a part of the body arrives. */
  readonly onReceive?: () => void;
  /** Called with the raw headers of an interim response. */
  readonly onInterim?: (rawHeaders: readonly string[]) => void;
  /** Timeout in ms without progress of the response body. */
  readonly bodyProgressTimeoutMs: number;
  /**
   * Runs directly before the request is written, in the same event-loop turn; a returned error
   * prevents the write.
   */
  readonly beforeWrite?: () => Error | undefined;
  /** Returns why a response that seems complete is truncated, or undefined if it is complete. */
  readonly checkEnd?: (rawHeaders: readonly string[]) => string | undefined;
  /** Checks the raw headers of the final response; a returned reason rejects the response. */
  readonly checkHead?: (rawHeaders: readonly string[]) => string | undefined;
}
