import type { IncomingMessage } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createSafeLogger } from './_safe_logger.ts';
import { type ConnectionEnds, type EndedBy, mayEndConnection } from './connection_ends.ts';

/** Why a process ends. `exit`: by a call that did not ask the owner. */
export type ProcessEndReason = 'signal' | 'exception' | 'failed start' | 'exit';

/** An end of a connection or of the process with requests open. */
export interface OpenEnd {
  readonly what: 'connection' | 'process';
  readonly listener: string;
  readonly by: EndedBy;
  readonly why: string;
}

/** How a process that is about to end is to be stopped. */
export interface StopRequest {
  /** Time in ms since the process was asked to stop. */
  readonly sinceMs: number;
  /** Whether callers are sent elsewhere before the node stops accepting requests. */
  readonly isPlanned: boolean;
}

/** What is left to an owner whose node fails to stop. */
export interface StopFallback {
  /** Time in ms from the cause of the stop within which the process has to end. */
  readonly graceMs: number;
  /** Refuses new requests; those open are answered by `endsBy`, monotonic in ms. */
  readonly refuseRequests: (endsBy: number) => void;
  /** Refuses requests that have arrived and were not read; the process exits by `exitBy`. */
  readonly refuseArrived: (exitBy: number) => Promise<void>;
}

/** Stops the node gracefully; further calls join the first one. */
export type StopNode = (request: StopRequest) => Promise<void>;

/** The request to end the process. */
export interface ProcessEnd {
  readonly reason: ProcessEndReason;
  /** Exit status of the process. */
  readonly status: number;
  /** Time in ms since the cause; 0 by default. */
  readonly sinceMs?: number;
}

/** Decides when the connections of callers and peers and the process may end. */
export interface EndOwner {
  /** Returns the ends of the connections of one listener. */
  readonly forListener: (
    listener: string,
    requestIdOf: (message: IncomingMessage) => string | undefined,
  ) => ConnectionEnds;
  /** Number of requests whose head was read and that have no complete response. */
  readonly openRequests: () => number;
  /** Resolves once no request is open, or at a time, monotonic in ms. */
  readonly untilAnswered: (endsBy: number) => Promise<void>;
  /**
   * Sets how the node is stopped; until then, an end of the process needs no stop. When the stop
   * fails, the owner refuses new requests by the fallback and waits for the open ones.
   */
  readonly setStop: (stop: StopNode, fallback?: StopFallback) => void;
  /**
   * Ends the process once the node has stopped, with the status of the first request to end it
   * unless a later one reports a failure.
   */
  readonly endProcess: (end: ProcessEnd) => void;
  /** Records the end of the process, to be called when it exits. */
  readonly recordExit: () => void;
  /** Calls back at each end with requests open. */
  readonly onOpenEnd: (callback: (end: OpenEnd) => void) => void;
}

/** Options of {@link createEndOwner}. */
export interface EndOwnerOptions {
  readonly clock: Clock;
  /** Logger without a limit of lines, as each of these ends may have lost a response. */
  readonly logger: Logger;
  readonly exit: (status: number) => void;
}

/** Limits the request ids in one line. */
const MAX_NAMED_REQUESTS = 20;
const EXIT_FAILED = 1;
/** Part of the grace time that is reserved for the end of the process after a failed stop. */
const EXIT_RESERVE_MS = 500;
/** Part of that reserve in which no request is refused any more. */
const LAST_RESERVE_MS = 250;

/**
 * Creates the owner of the ends: listeners ask it before they end a connection, and each way to end
 * the process leads through it, so that none of them leaves a request without an answer that could
 * still be given.
 *
 * @param options Clock, logger and the exit of the process.
 * @returns The owner, without requests and without a node to stop.
 *
 * @example
 * const ends = createEndOwner({ clock, logger, exit: (status) => process.exit(status) });
 * process.on('SIGTERM', () => ends.endProcess({ reason: 'signal', status: 0 }));
 */
export const createEndOwner = ({ clock, exit, ...options }: EndOwnerOptions): EndOwner => {
  const logger = createSafeLogger(options.logger);
  let openCount = 0;
  let waiting: (() => void)[] = [];
  let stop: StopNode = () => Promise.resolve();
  let fallback: StopFallback | undefined;
  let first: ProcessEnd | undefined;
  let status = 0;
  let isRecorded = false;
  let callback = (_end: OpenEnd) => undefined as void;

  const report = (end: OpenEnd) => {
    try {
      callback(end);
    } catch (error) {
      logger.error({ why: end.why, reason: String(error) }, 'failed to report an open end');
    }
  };

  const release = () => {
    openCount -= 1;
    if (openCount > 0) return;
    for (const resume of waiting) resume();
    waiting = [];
  };

  const openRequest = () => {
    let isOpen = true;
    openCount += 1;
    return () => {
      if (!isOpen) return;
      isOpen = false;
      release();
    };
  };

  const recordExit = () => {
    if (isRecorded) return;
    isRecorded = true;
    const why = first?.reason ?? 'exit';
    if (openCount === 0) {
      logger.info({ by: 'node', why, open: 0 }, 'process ends');
      return;
    }
    logger.error({ by: 'node', why, open: openCount }, 'process ended with a request open');
    report({
      what: 'process', listener: '', by: 'node', why,
    });
  };

  const untilAnswered = async (endsBy: number) => {
    if (openCount === 0) return;
    const timeout = new AbortController();
    const answered = new Promise<void>((resolve) => {
      waiting.push(resolve);
    });
    const leftMs = Math.max(0, endsBy - clock.now());
    await Promise.race([answered, clock.sleep(leftMs, timeout.signal)]);
    timeout.abort();
  };

  const endWithoutStop = async (
    { graceMs, refuseRequests, refuseArrived }: StopFallback,
    causeAt: number,
  ) => {
    const endsBy = causeAt + graceMs - EXIT_RESERVE_MS;
    try {
      refuseRequests(endsBy);
    } catch (error) {
      logger.error({ reason: String(error) }, 'failed to refuse requests');
    }
    await untilAnswered(endsBy);
    try {
      await refuseArrived(causeAt + graceMs - LAST_RESERVE_MS);
    } catch (error) {
      logger.error({ reason: String(error) }, 'failed to refuse what has arrived');
    }
  };

  /** Stops the node; a stop that throws rejects, like one that fails later. */
  const stopNode: StopNode = async (request) => stop(request);

  const stopAndExit = async ({ reason, sinceMs = 0 }: ProcessEnd) => {
    const causeAt = clock.now() - sinceMs;
    try {
      await stopNode({ sinceMs, isPlanned: reason === 'signal' });
    } catch (error) {
      status = EXIT_FAILED;
      logger.error({
        why: reason, open: openCount, reason: String(error),
      }, 'failed to stop the node');
      if (fallback !== undefined) await endWithoutStop(fallback, causeAt);
    }
    recordExit();
    exit(status);
  };

  return {
    forListener: (listener, requestIdOf) => ({
      openRequest,
      mayEnd: mayEndConnection,
      recordEnd: ({ by, why, requests }) => {
        logger.warn({
          listener,
          by,
          why,
          open: requests.length,
          requests: requests.slice(0, MAX_NAMED_REQUESTS).map(requestIdOf),
        }, 'connection ended with a request open');
        report({
          what: 'connection', listener, by, why,
        });
      },
    }),
    openRequests: () => openCount,
    untilAnswered,
    setStop: (givenStop, givenFallback) => {
      stop = givenStop;
      fallback = givenFallback;
    },
    endProcess: (end) => {
      if (end.status !== 0) status = end.status;
      if (first !== undefined) {
        logger.warn({ why: end.reason, first: first.reason }, 'the process ends already');
        const isPlanned = end.reason === 'signal';
        if (isPlanned && first.reason === 'signal') return;
        // Joins the stop that runs, whose failure is logged where it was begun.
        stopNode({ sinceMs: end.sinceMs ?? 0, isPlanned }).catch(() => undefined);
        return;
      }
      first = end;
      logger.info({ by: 'node', why: end.reason, open: openCount }, 'the process is to end');
      stopAndExit(end);
    },
    recordExit,
    onOpenEnd: (givenCallback) => {
      callback = givenCallback;
    },
  };
};
