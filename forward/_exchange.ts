import type { Dispatcher } from 'undici';
import type { CancelTask } from '../clock/mod.ts';
import { isLastResponse } from '../http/mod.ts';
import type { ExchangeOptions, ExchangeRequest } from './_exchange_options.ts';
import { endToEndHeaders, findHeader, REQUEST_ID_HEADER } from './headers.ts';
import type { ResponseSink, ResponseAction } from './hop.ts';
import { findStatusFault, isInterimStatus } from './_status_check.ts';
import { toStrings } from './_to_strings.ts';
import { unsentResponsesOfProcess } from './_unsent_responses.ts';

/** Why an exchange failed. */
export type FailureCause = 'connection' | 'silent' | 'deadline' | 'cancelled' | 'lapsed'
  | 'mismatch' | 'stall' | 'denied';

/** Result of an exchange. */
export type ExchangeResult = | { readonly kind: 'complete'; readonly status: number }
  | {
    readonly kind: 'failed';
    readonly cause: FailureCause;
    readonly error: Error;
    /** True if the request was handed to a connection, so the receiver may have it. */
    readonly written: boolean;
    /** True if the sink received a part of the response body and may have sent the head too. */
    readonly begun: boolean;
  };

/** Largest unwanted body that is read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 65_536;
/** Longest time in ms for which an unwanted body is read so that its connection can be reused. */
const MAX_DRAIN_MS = 100;
/** Far above what a live peer sends, which is a few in a second. */
const MAX_INTERIM_RESPONSES = 1000;
/** Delay of a progress check from which on this process is assumed to have been paused. */
const LATE_CHECK_MS = 250;

/** Body timeout while backpressure pauses the response; slow clients drain buffers rarely. */
const PAUSED_BODY_TIMEOUT_MS = 300_000;

/** The ingress sets its own request identifier on the response. */
const REMOVED_RESPONSE_HEADERS = new Set([REQUEST_ID_HEADER]);

/**
 * Sends a request, streams its response into a sink and enforces the progress timeouts.
 *
 * @param dispatcher Connection pool.
 * @param request Request to send.
 * @param sink Receiver of the response.
 * @param options Timeouts, cancellation and checks.
 * @returns The result; a failure resolves and does not reject.
 *
 * @example
 * const end = await exchange(pool, request, sink, { clock, signal, deadlineAt, ...timeouts });
 */
export const exchange = (
  dispatcher: Dispatcher,
  request: ExchangeRequest,
  sink: ResponseSink,
  options: ExchangeOptions,
): Promise<ExchangeResult> => new Promise((resolve) => {
  const { clock, signal } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let responseAction: ResponseAction | undefined;
  let status = 0;
  let rawHead: readonly string[] = [];
  /** True once the sink received a part of the body, before which it sends nothing. */
  let hasBegun = false;
  /** True if the connection closes after this response. */
  let closesConnection = false;
  let interimCount = 0;
  let discardedBytes = 0;
  /** Body bytes that are still to come; infinite if the response states no length. */
  let missingBytes = Number.POSITIVE_INFINITY;
  let drainEndsAt = Infinity;
  const unsent = unsentResponsesOfProcess.add(() => sink.unsentBytes?.() ?? 0);
  let cause: FailureCause = 'connection';
  let isSettled = false;
  let lastProgressAt = clock.now();
  let checkAt = Number.POSITIVE_INFINITY;
  let cancelCheck: CancelTask = () => undefined;
  let removeListeners = () => undefined as void;

  const settle = (end: ExchangeResult) => {
    if (isSettled) return;
    isSettled = true;
    cancelCheck();
    removeListeners();
    resolve(end);
  };
  const fail = (reason: FailureCause, error: Error) => {
    if (isSettled) return;
    cause = reason;
    settle({
      kind: 'failed', cause, error, written: controller !== undefined, begun: hasBegun,
    });
    controller?.abort(error);
  };
  const onLeaseExpired = () => fail('lapsed', new Error('the lease of the key lapsed'));
  const progressTimeoutMs = () => {
    if (responseAction === undefined) return options.headProgressTimeoutMs;
    return controller?.paused ? PAUSED_BODY_TIMEOUT_MS : options.bodyProgressTimeoutMs;
  };
  const limitAt = () => {
    if (responseAction === undefined) return options.deadlineAt;
    return responseAction === 'drain' ? drainEndsAt : options.endDeadlineAt ?? Infinity;
  };
  const stopReading = () => {
    settle({ kind: 'complete', status });
    controller?.abort(new Error('the rest of the response is not needed'));
  };
  const onAbort = () => {
    if (responseAction === 'hold') stopReading();
    else fail('cancelled', new Error('the request was cancelled'));
  };
  const checkProgress = () => {
    const now = clock.now();
    // If the check runs late, this process was paused, and received bytes may still be unread.
    if (now - checkAt > LATE_CHECK_MS) lastProgressAt = now;
    if ((responseAction === 'drain' || responseAction === 'hold') && now >= limitAt()) {
      stopReading();
      return;
    }
    let timeoutAt = lastProgressAt + progressTimeoutMs();
    const mayGoOn = responseAction === undefined && options.onSilent !== undefined;
    if (now >= timeoutAt && mayGoOn && options.onSilent?.(lastProgressAt) !== true) {
      lastProgressAt = now;
      timeoutAt = now + progressTimeoutMs();
    }
    if (now >= timeoutAt) {
      fail(responseAction === undefined ? 'silent' : 'stall', new Error('no progress in time'));
      return;
    }
    if (now >= limitAt()) {
      const missed = responseAction === undefined ? 'answer' : 'end of the answer';
      fail('deadline', new Error(`no ${missed} within the deadline`));
      return;
    }
    checkAt = Math.min(timeoutAt, limitAt());
    cancelCheck = clock.schedule(Math.ceil(checkAt - now), checkProgress);
  };
  const setAction = (action: ResponseAction) => {
    responseAction = action;
    drainEndsAt = lastProgressAt + MAX_DRAIN_MS;
    if (checkAt > Math.min(lastProgressAt + options.bodyProgressTimeoutMs, limitAt())) {
      cancelCheck();
      checkProgress();
    }
  };
  const resumeBody = () => {
    lastProgressAt = clock.now();
    controller?.resume();
  };

  if (signal.aborted) {
    onAbort();
    return;
  }
  if (options.leaseExpiry?.aborted) {
    onLeaseExpired();
    return;
  }
  signal.addEventListener('abort', onAbort);
  options.leaseExpiry?.addEventListener('abort', onLeaseExpired);
  removeListeners = () => {
    signal.removeEventListener('abort', onAbort);
    options.leaseExpiry?.removeEventListener('abort', onLeaseExpired);
  };
  checkProgress();
  dispatcher.dispatch({
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    headersTimeout: 0,
    bodyTimeout: 0,
  }, {
    onRequestStart: (started) => {
      if (isSettled) {
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
      lastProgressAt = clock.now();
    },
    onResponseStart: (current, statusCode) => {
      options.onReceive?.();
      if (isSettled) return;
      lastProgressAt = clock.now();
      if (isInterimStatus(statusCode)) {
        interimCount += 1;
        if (interimCount > MAX_INTERIM_RESPONSES) {
          fail('connection', new Error('too many interim responses'));
        } else options.onInterim?.(toStrings(current.rawHeaders));
        return;
      }
      const raw = toStrings(current.rawHeaders);
      const mismatch = findStatusFault(statusCode) ?? options.checkHead?.(raw);
      if (mismatch !== undefined) {
        fail('mismatch', new Error(mismatch));
        return;
      }
      status = statusCode;
      rawHead = raw;
      const contentLength = findHeader(raw, 'content-length');
      if (contentLength !== undefined) missingBytes = Number(contentLength);
      const isUnframed = contentLength === undefined
        && findHeader(raw, 'transfer-encoding') === undefined;
      closesConnection = isUnframed || isLastResponse(current)
        || findHeader(raw, 'connection')?.toLowerCase().includes('close') === true;
      const headers = endToEndHeaders(raw, REMOVED_RESPONSE_HEADERS);
      const action = sink.start(statusCode, headers);
      if (action === 'cancel') fail('cancelled', new Error('the answer was not wanted'));
      else setAction(action);
    },
    onResponseData: (current, chunk) => {
      options.onReceive?.();
      if (isSettled) return;
      lastProgressAt = clock.now();
      if (responseAction === 'hold') {
        if (sink.hold?.(chunk) === true) return;
        setAction('drain');
      }
      if (responseAction === 'drain') {
        discardedBytes += chunk.length;
        if (discardedBytes > MAX_DISCARDED_BYTES) stopReading();
        return;
      }
      missingBytes -= chunk.length;
      hasBegun = true;
      if (sink.write(chunk)) return;
      // undici fails a paused response when its connection closes, so the last one on a connection
      // is not paused, nor any after its last byte.
      if (!closesConnection && missingBytes > 0) {
        current.pause();
        sink.onDrain(resumeBody);
      } else if (unsent.isExceeded()) {
        fail('stall', new Error('the receiver reads too slowly'));
      }
    },
    onResponseEnd: () => {
      if (isSettled) return;
      const truncation = options.checkEnd?.(rawHead);
      if (truncation !== undefined && responseAction === 'deliver') {
        fail('connection', new Error(truncation));
        return;
      }
      settle({ kind: 'complete', status });
      if (responseAction === 'deliver') sink.end();
      else if (responseAction === 'hold' && truncation === undefined) sink.held?.();
    },
    onResponseError: (_, error) => {
      if (responseAction === 'drain' || responseAction === 'hold') {
        settle({ kind: 'complete', status });
      } else fail(cause, error);
    },
  });
});
