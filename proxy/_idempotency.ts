import { type ChunkCollector, createChunkCollector } from '../bytes/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  type ResponseSink, type AttemptResult, findHeader, type FirstAttempt, type FirstAttemptResult,
  type HopRequest, type IdempotencyTable, type CachedResponse, type RefusedResult,
} from '../forward/mod.ts';
import type { LocalDispatch } from './local_dispatch.ts';

const STEP = 'dispatch.idempotency';
/** Header with a caller's idempotency key. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

const toRefused = (
  reason: string,
  status: number,
  outcome: 'not run' | 'unknown',
): RefusedResult => ({
  kind: 'refused',
  refusal: new RefusalError(reason, { step: STEP, status, outcome }),
  load: undefined,
  timedOut: false,
});

/** Forwards a response and copies it as long as it fits into `maxBytes`. */
const createRecordingSink = (sink: ResponseSink, maxBytes: number) => {
  let head: Omit<CachedResponse, 'body'> | undefined;
  let collector: ChunkCollector | undefined = createChunkCollector({ maxBytes });
  const recordingSink: ResponseSink = {
    ...sink,
    start: (status, headers) => {
      head = { status, headers: [...headers] };
      return sink.start(status, headers);
    },
    write: (chunk) => {
      if (collector?.add(chunk) === false) collector = undefined;
      return sink.write(chunk);
    },
  };
  const cached = (): CachedResponse | undefined => {
    if (head === undefined || collector === undefined) return undefined;
    return { ...head, body: collector.finish() };
  };
  return { sink: recordingSink, cached };
};

const replay = (response: CachedResponse, sink: ResponseSink): AttemptResult => {
  if (sink.start(response.status, [...response.headers]) === 'deliver') {
    if (response.body.length > 0) sink.write(response.body);
    sink.end();
  }
  return { kind: 'answered', status: response.status, load: undefined };
};

const completeRepeat = (end: FirstAttemptResult, sink: ResponseSink): AttemptResult => {
  if (end.kind === 'kept') return replay(end.response, sink);
  if (end.kind === 'unknown') return toRefused(end.reason, 409, 'unknown');
  return {
    kind: 'refused', refusal: end.refusal, load: undefined, timedOut: false,
  };
};

const toFirstAttemptResult = (
  end: AttemptResult,
  cached: CachedResponse | undefined,
): FirstAttemptResult => {
  if (end.kind === 'answered') {
    return cached === undefined
      ? { kind: 'unknown', reason: 'the first attempt ended, but its answer was too large to keep' }
      : { kind: 'kept', response: cached };
  }
  if (end.kind === 'refused' && end.refusal.outcome === 'not run') {
    return { kind: 'not run', refusal: end.refusal };
  }
  return { kind: 'unknown', reason: 'the first attempt ended without a complete answer' };
};

const waitForFirst = (
  first: Promise<FirstAttemptResult>,
  request: HopRequest,
  sink: ResponseSink,
): Promise<AttemptResult> => new Promise((resolve) => {
  const onAbort = () => resolve(toRefused('the repeat was cancelled', 503, 'unknown'));
  if (request.signal.aborted) onAbort();
  request.signal.addEventListener('abort', onAbort, { once: true });
  first.then((end) => {
    request.signal.removeEventListener('abort', onAbort);
    if (!request.signal.aborted) resolve(completeRepeat(end, sink));
  }).catch(onAbort);
});

const runFirst = async (
  request: HopRequest,
  sink: ResponseSink,
  first: FirstAttempt,
  next: LocalDispatch,
  maxBytes: number,
): Promise<AttemptResult> => {
  const recording = createRecordingSink(sink, maxBytes);
  let result: FirstAttemptResult = { kind: 'unknown', reason: 'the first attempt failed' };
  try {
    const end = await next(request, recording.sink);
    result = toFirstAttemptResult(end, recording.cached());
    return end;
  } finally {
    first.complete(result);
  }
};

/**
 * Deduplicates submissions by `Idempotency-Key`: a repeated submission gets the result of the first
 * attempt instead of running again.
 *
 * @param table First attempts by key.
 * @param next Dispatch that runs a first attempt.
 * @returns The deduplicating dispatch.
 *
 * @example
 * const dispatch = withIdempotency(createIdempotencyTable({ clock }), runLocally);
 */
export const withIdempotency = (
  table: IdempotencyTable,
  next: LocalDispatch,
): LocalDispatch => (request, sink) => {
  if (request.requestClass !== 'submission') return next(request, sink);
  const key = findHeader(request.headers, IDEMPOTENCY_HEADER);
  if (key === undefined) return next(request, sink);
  const entry = table.register(request.customer, request.service, key);
  if (entry.kind === 'first') return runFirst(request, sink, entry, next, table.maxResponseBytes);
  if (entry.kind === 'repeat') return waitForFirst(entry.result, request, sink);
  return Promise.resolve(toRefused('too many idempotency keys are remembered', 503, 'not run'));
};
