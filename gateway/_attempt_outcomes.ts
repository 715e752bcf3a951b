import type { AttemptOutcome } from './request.ts';

const FIRST_SERVER_ERROR = 500;
const STATUS_GATEWAY_TIMEOUT = 504;
const STATUS_MISDIRECTED = 421;
/** Steps that refuse for want of slots or processor time, and the one that gets no answer. */
const OVERLOAD_STEPS = new Set([
  'admission.acquire', 'admission.cold', 'dispatch.wait', 'local.admit', 'peer.send',
]);

/** Steps that refuse for want of room; an instance that refuses most requests may be faulty. */
const ROOM_STEPS = new Set(['admission.acquire', 'dispatch.wait', 'routing.throttle']);

/** Returns the outcome of an attempt as the chooser counts it. */
export const reportedOutcome = (outcome: AttemptOutcome, isAborted: boolean) => {
  if (isAborted) return 'cancelled';
  if (outcome.kind === 'answered') {
    return outcome.status < FIRST_SERVER_ERROR ? 'success' : 'failure';
  }
  if (outcome.kind !== 'refused') return 'failure';
  if (outcome.refusal.outcome === 'not run') return 'refused';
  return outcome.refusal.status === STATUS_GATEWAY_TIMEOUT ? 'timeout' : 'failure';
};

/** Returns whether an attempt ended without an answer after the instance had got the request. */
export const mayHaveRun = (outcome: AttemptOutcome) => (
  outcome.kind === 'refused' && outcome.refusal.outcome === 'unknown'
);

/** Report to the chooser on a target to which nothing was sent. */
export const UNSENT = { durationMs: 0, outcome: 'cancelled', load: undefined } as const;

/** Returns whether an attempt ended because its target had no room, or did not answer. */
export const isOverloaded = (outcome: AttemptOutcome) => (
  outcome.kind === 'refused' && OVERLOAD_STEPS.has(outcome.refusal.step)
);

/** Returns whether the instance has certainly ended its work on the request, or not begun it. */
export const hasEnded = (outcome: AttemptOutcome) => (
  outcome.kind === 'answered' || outcome.kind === 'failed'
    || (outcome.kind === 'refused' && outcome.refusal.outcome === 'not run')
);

/** Returns whether a request was certainly not run, for want of room. */
export const isWithoutRoom = (outcome: AttemptOutcome) => (
  outcome.kind === 'refused' && outcome.refusal.outcome === 'not run'
    && ROOM_STEPS.has(outcome.refusal.step)
);

/** Returns whether the instance itself refused the request for want of capacity. */
export const isRefusedByInstance = (outcome: AttemptOutcome) => {
  if (outcome.kind !== 'refused' || !outcome.reachedInstance) return false;
  const { refusal: { outcome: promise, figures } } = outcome;
  return promise === 'not run' && figures.instanceStatus !== STATUS_MISDIRECTED;
};

/** Returns the outcome to report of two; one that may have run goes before one that has not. */
export const mergeOutcomes = (
  one: AttemptOutcome | undefined,
  other: AttemptOutcome,
): AttemptOutcome => {
  const isNotRun = other.kind === 'refused' && other.refusal.outcome === 'not run';
  return isNotRun && one !== undefined ? one : other;
};
