import { RefusalError } from '../errors/mod.ts';
import {
  type AnswerSink, type AttemptEnd, findHeader, type FirstAttempt, type FirstAttemptEnd,
  type HopRequest, type IdempotencyTable, type KeptAnswer, type RefusedEnd,
} from '../forward/mod.ts';
import type { LocalDispatch } from './local_dispatch.ts';

const STEP = 'dispatch.idempotency';
export const IDEMPOTENCY_HEADER = 'idempotency-key';

const refuse = (reason: string, status: number, outcome: 'not run' | 'unknown'): RefusedEnd => ({
  kind: 'refused',
  refusal: new RefusalError(reason, { step: STEP, status, outcome }),
  load: undefined,
  timedOut: false,
});

/** Passes an answer on and copies it while it is small. */
const createKeepingSink = (sink: AnswerSink, maxBytes: number) => {
  let head: Omit<KeptAnswer, 'body'> | undefined;
  let chunks: Buffer[] | undefined = [];
  let bytes = 0;
  const keeping: AnswerSink = {
    ...sink,
    start: (status, headers) => {
      head = { status, headers: [...headers] };
      return sink.start(status, headers);
    },
    write: (chunk) => {
      bytes += chunk.length;
      if (bytes > maxBytes) chunks = undefined;
      chunks?.push(chunk);
      return sink.write(chunk);
    },
  };
  const kept = (): KeptAnswer | undefined => {
    if (head === undefined || chunks === undefined) return undefined;
    return { ...head, body: Buffer.concat(chunks) };
  };
  return { sink: keeping, kept };
};

const replay = (answer: KeptAnswer, sink: AnswerSink): AttemptEnd => {
  if (sink.start(answer.status, [...answer.headers]) === 'deliver') {
    if (answer.body.length > 0) sink.write(answer.body);
    sink.end();
  }
  return { kind: 'answered', status: answer.status, load: undefined };
};

const answerRepeat = (end: FirstAttemptEnd, sink: AnswerSink): AttemptEnd => {
  if (end.kind === 'kept') return replay(end.answer, sink);
  if (end.kind === 'unknown') return refuse(end.reason, 409, 'unknown');
  return {
    kind: 'refused', refusal: end.refusal, load: undefined, timedOut: false,
  };
};

const endOf = (end: AttemptEnd, kept: KeptAnswer | undefined): FirstAttemptEnd => {
  if (end.kind === 'answered') {
    return kept === undefined
      ? { kind: 'unknown', reason: 'the first attempt ended, but its answer was too large to keep' }
      : { kind: 'kept', answer: kept };
  }
  if (end.kind === 'refused' && end.refusal.outcome === 'not run') {
    return { kind: 'not run', refusal: end.refusal };
  }
  return { kind: 'unknown', reason: 'the first attempt ended without a complete answer' };
};

const waitForFirst = (
  first: Promise<FirstAttemptEnd>,
  request: HopRequest,
  sink: AnswerSink,
): Promise<AttemptEnd> => new Promise((resolve) => {
  const onAbort = () => resolve(refuse('the repeat was cancelled', 503, 'unknown'));
  if (request.signal.aborted) onAbort();
  request.signal.addEventListener('abort', onAbort, { once: true });
  first.then((end) => {
    request.signal.removeEventListener('abort', onAbort);
    if (!request.signal.aborted) resolve(answerRepeat(end, sink));
  }).catch(onAbort);
});

const runFirst = async (
  request: HopRequest,
  sink: AnswerSink,
  first: FirstAttempt,
  dispatch: LocalDispatch,
  maxBytes: number,
): Promise<AttemptEnd> => {
  const keeping = createKeepingSink(sink, maxBytes);
  let known: FirstAttemptEnd = { kind: 'unknown', reason: 'the first attempt failed' };
  try {
    const end = await dispatch(request, keeping.sink);
    known = endOf(end, keeping.kept());
    return end;
  } finally {
    first.settle(known);
  }
};

/** Attaches a submission with an `Idempotency-Key` to its first attempt, if there was one. */
export const withIdempotency = (
  table: IdempotencyTable,
  dispatch: LocalDispatch,
): LocalDispatch => (request, sink) => {
  if (request.requestClass !== 'submission') return dispatch(request, sink);
  const key = findHeader(request.headers, IDEMPOTENCY_HEADER);
  if (key === undefined) return dispatch(request, sink);
  const entry = table.enter(request.customer, request.service, key);
  if (entry.kind === 'first') return runFirst(request, sink, entry, dispatch, table.maxAnswerBytes);
  if (entry.kind === 'repeat') return waitForFirst(entry.end, request, sink);
  return Promise.resolve(refuse('too many idempotency keys are remembered', 503, 'not run'));
};
