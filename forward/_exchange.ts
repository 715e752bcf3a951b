import type { Readable } from 'node:stream';
import type { Dispatcher } from 'undici';
import type { CancelTask, Clock } from '../clock/mod.ts';
import { endToEndHeaders, findHeader, REQUEST_ID_HEADER } from './headers.ts';
import type { AnswerSink, AnswerUse } from './hop.ts';

/** One HTTP request over a pool of connections. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Readable | Buffer | null;
}

export interface ExchangeOptions {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  /** Monotonic time in ms by which the final head must have arrived. */
  readonly deadlineAt: number;
  /** Aborts when the right to run the request lapses. */
  readonly lapse?: AbortSignal;
  /** Time in ms without any byte, interim answers included, until the final head. */
  readonly silenceMs: number;
  /** Time in ms without progress of the body. */
  readonly stallMs: number;
  /**
   * Runs in the same event-loop turn as the write of the request, before it; an error stops the
   * write.
   */
  readonly beforeWrite?: () => Error | undefined;
  /** Tells why an answer that seems complete is not; `raw` are the headers of its head. */
  readonly checkEnd?: (rawHeaders: readonly string[]) => string | undefined;
  /** Checks the raw headers of the final answer; a reason drops the answer. */
  readonly checkHead?: (rawHeaders: readonly string[]) => string | undefined;
}

/** Why an exchange failed. */
export type FailureCause = 'connection' | 'silent' | 'deadline' | 'cancelled' | 'lapsed'
  | 'mismatch' | 'stall' | 'denied';

/** How an exchange ended. */
export type ExchangeEnd = | { readonly kind: 'complete'; readonly status: number }
  | {
    readonly kind: 'failed';
    readonly cause: FailureCause;
    readonly error: Error;
    /** The request was handed to a connection, so the receiver may have it. */
    readonly written: boolean;
    /** The sink was told the head and asked for delivery. */
    readonly begun: boolean;
  };

const MAX_DRAINED_BYTES = 65_536;
const FIRST_FINAL_STATUS = 200;
const LATE_WATCH_MS = 250;

/** A slow consumer empties its socket buffers seldom, so it is given long. */
const CONSUMER_STALL_MS = 300_000;

/** The ingress sets the identifier of the answer. */
const DROPPED = new Set([REQUEST_ID_HEADER]);

const toText = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => {
  const text: string[] = [];
  if (!Array.isArray(raw)) return text;
  for (const part of raw) text.push(typeof part === 'string' ? part : part.toString('latin1'));
  return text;
};

/** Sends one request, streams its answer into the sink and watches its progress. */
export const exchange = (
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  sink: AnswerSink,
  options: ExchangeOptions,
): Promise<ExchangeEnd> => new Promise((resolve) => {
  const { clock, signal } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let use: AnswerUse | undefined;
  let status = 0;
  let head: readonly string[] = [];
  /** The connection ends after this answer. */
  let isLastOfConnection = false;
  let drainedBytes = 0;
  let cause: FailureCause = 'connection';
  let settled = false;
  let progressAt = clock.now();
  let dueAt = Number.POSITIVE_INFINITY;
  let cancelWatch: CancelTask = () => undefined;
  let removeListeners = () => undefined as void;

  const settle = (end: ExchangeEnd) => {
    if (settled) return;
    settled = true;
    cancelWatch();
    removeListeners();
    resolve(end);
  };
  const fail = (reason: FailureCause, error: Error) => {
    if (settled) return;
    cause = reason;
    const begun = use === 'deliver';
    settle({
      kind: 'failed', cause, error, written: controller !== undefined, begun,
    });
    controller?.abort(error);
  };
  const onAbort = () => fail('cancelled', new Error('the request was cancelled'));
  const onLapse = () => fail('lapsed', new Error('the lease of the key lapsed'));
  const progressLimitMs = () => {
    if (use === undefined) return options.silenceMs;
    return controller?.paused ? CONSUMER_STALL_MS : options.stallMs;
  };
  const watch = () => {
    const now = clock.now();
    // A late run means that this process was paused; bytes may be waiting to be read.
    if (now - dueAt > LATE_WATCH_MS) progressAt = now;
    const silentAt = progressAt + progressLimitMs();
    if (now >= silentAt) {
      fail(use === undefined ? 'silent' : 'stall', new Error('no progress in time'));
      return;
    }
    if (use === undefined && now >= options.deadlineAt) {
      fail('deadline', new Error('no answer within the deadline'));
      return;
    }
    dueAt = use === undefined ? Math.min(silentAt, options.deadlineAt) : silentAt;
    cancelWatch = clock.schedule(Math.ceil(dueAt - now), watch);
  };
  const goOn = () => {
    progressAt = clock.now();
    controller?.resume();
  };

  if (signal.aborted) {
    onAbort();
    return;
  }
  if (options.lapse?.aborted) {
    onLapse();
    return;
  }
  signal.addEventListener('abort', onAbort);
  options.lapse?.addEventListener('abort', onLapse);
  removeListeners = () => {
    signal.removeEventListener('abort', onAbort);
    options.lapse?.removeEventListener('abort', onLapse);
  };
  watch();
  dispatcher.dispatch({
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    headersTimeout: 0,
    bodyTimeout: 0,
  }, {
    onRequestStart: (started) => {
      if (settled) {
        started.abort(new Error('the request was cancelled'));
        return;
      }
      const refusal = options.beforeWrite?.();
      if (refusal !== undefined) {
        fail('denied', refusal);
        started.abort(refusal);
        return;
      }
      controller = started;
      progressAt = clock.now();
    },
    onResponseStart: (current, statusCode) => {
      if (settled) return;
      progressAt = clock.now();
      if (statusCode < FIRST_FINAL_STATUS) return;
      const raw = toText(current.rawHeaders);
      const mismatch = options.checkHead?.(raw);
      if (mismatch !== undefined) {
        fail('mismatch', new Error(mismatch));
        return;
      }
      status = statusCode;
      head = raw;
      const endsWithConnection = findHeader(raw, 'content-length') === undefined
        && findHeader(raw, 'transfer-encoding') === undefined;
      isLastOfConnection = endsWithConnection
        || findHeader(raw, 'connection')?.toLowerCase().includes('close') === true;
      const headers = endToEndHeaders(raw, DROPPED);
      const decided = sink.start(statusCode, headers, endsWithConnection);
      if (decided === 'cancel') fail('cancelled', new Error('the answer was not wanted'));
      else {
        use = decided;
        if (dueAt > progressAt + options.stallMs) {
          cancelWatch();
          watch();
        }
      }
    },
    onResponseData: (current, chunk) => {
      if (settled) return;
      progressAt = clock.now();
      if (use === 'drain') {
        drainedBytes += chunk.length;
        if (drainedBytes > MAX_DRAINED_BYTES) {
          settle({ kind: 'complete', status });
          current.abort(new Error('the rest of the answer was not wanted'));
        }
        return;
      }
      // The HTTP client fails when a connection ends while its last answer is paused.
      if (!sink.write(chunk) && !isLastOfConnection) {
        current.pause();
        sink.onDrain(goOn);
      }
    },
    onResponseEnd: () => {
      if (settled) return;
      const incomplete = use === 'deliver' ? options.checkEnd?.(head) : undefined;
      if (incomplete !== undefined) {
        fail('connection', new Error(incomplete));
        return;
      }
      settle({ kind: 'complete', status });
      if (use === 'deliver') sink.end();
    },
    onResponseError: (_, error) => {
      if (use === 'drain') settle({ kind: 'complete', status });
      else fail(cause, error);
    },
  });
});
