import type { RefusalError } from '../errors/mod.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';
import type { Target } from './target_chooser.ts';

/** Log fields of an attempt: the request, the target and why it was chosen. */
export const attemptFields = (request: GatewayRequest, target: Target, durationMs: number) => ({
  request: request.requestId,
  service: request.service,
  key: request.key,
  target: target.node,
  instance: target.instance,
  version: target.version,
  reason: target.reason,
  view: target.view,
  durationMs: Math.round(durationMs),
});

/** Log fields of a refusal: the step that refused and the figures that it went by. */
export const refusalFields = (outcome: AttemptOutcome) => (
  outcome.kind === 'refused'
    ? { step: outcome.refusal.step, ...outcome.refusal.figures }
    : {}
);

/** Status and cause of a refusal whose request may have run; a peer does not tell the cause. */
export const describeUnknown = (refusal: RefusalError | undefined) => (
  refusal?.outcome === 'unknown'
    ? {
      status: refusal.status,
      cause: typeof refusal.cause === 'string' ? refusal.cause : 'told by a peer',
    }
    : undefined
);

/** Log fields of the time that an attempt spent at the node of the instance, in ms. */
export const timingFields = (outcome: AttemptOutcome) => {
  if (outcome.kind !== 'answered' || outcome.timing === undefined) return {};
  const { queuedMs, runMs } = outcome.timing;
  return { queuedMs: Math.round(queuedMs), runMs: Math.round(runMs) };
};

/** Log fields of how an attempt ended. */
export const outcomeFields = (outcome: AttemptOutcome) => ({
  outcome: outcome.kind,
  ...(outcome.kind === 'refused' ? {
    refusal: outcome.refusal.message, mayHaveRun: outcome.refusal.outcome === 'unknown',
  } : {}),
  ...refusalFields(outcome),
  ...timingFields(outcome),
});
