import type { AttemptOutcome } from './request.ts';

/** Log fields of a refusal: reason, step and the figures that the decision was based on. */
export const refusalFields = (outcome: AttemptOutcome) => {
  if (outcome.kind !== 'refused') return {};
  const {
    message, step, outcome: ran, figures,
  } = outcome.refusal;
  return {
    refusal: message, step, mayHaveRun: ran === 'unknown', ...figures,
  };
};

/** Log fields of the time that an attempt spent at the node of the instance, in ms. */
export const timingFields = (outcome: AttemptOutcome) => {
  if (outcome.kind !== 'answered' || outcome.timing === undefined) return {};
  const { queuedMs, runMs } = outcome.timing;
  return { queuedMs: Math.round(queuedMs), runMs: Math.round(runMs) };
};
