import type { AttemptOutcome } from './request.ts';

/** Log fields of a refusal: the step that refused and the figures that it went by. */
export const refusalFields = (outcome: AttemptOutcome) => (
  outcome.kind === 'refused'
    ? { step: outcome.refusal.step, ...outcome.refusal.figures }
    : {}
);

/** Log fields of the time that an attempt spent at the node of the instance, in ms. */
export const timingFields = (outcome: AttemptOutcome) => {
  if (outcome.kind !== 'answered' || outcome.timing === undefined) return {};
  const { queuedMs, runMs } = outcome.timing;
  return { queuedMs: Math.round(queuedMs), runMs: Math.round(runMs) };
};
