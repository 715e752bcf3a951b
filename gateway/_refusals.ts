import { RefusalError, type RefusalOptions, type StepErrorOptions } from '../errors/mod.ts';
import type { AttemptOutcome } from './request.ts';

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
/** Time in which a host works off the requests that it has read. */
const SATURATED_RETRY_AFTER_MS = 400;

/** Creates a refusal for a request that no instance received; a retry is always safe. */
export const refuseNotRun = (
  reason: string,
  retryAfterMs: number,
  options: StepErrorOptions & Pick<RefusalOptions, 'figures'>,
): Extract<AttemptOutcome, { kind: 'refused' }> => ({
  kind: 'refused',
  reachedInstance: false,
  refusal: new RefusalError(reason, {
    ...options,
    status: STATUS_UNAVAILABLE,
    outcome: 'not run',
    retryAfterSeconds: retryAfterMs / MS_PER_SECOND,
  }),
});

/** Creates a refusal for a request that waited too long for the event loop of this node. */
export const refuseSaturated = () => (
  refuseNotRun('the node is saturated', SATURATED_RETRY_AFTER_MS, { step: 'dispatch.wait' })
);

/** Creates a refusal for a request whose body finds no room beside those of other requests. */
export const refuseBody = () => (
  refuseNotRun('no memory is left for the body', SATURATED_RETRY_AFTER_MS, { step: 'body.read' })
);

/** Creates a refusal for a request for which the heap of this node has no room. */
export const refuseForHeap = () => (
  refuseNotRun('no memory is left for the request', SATURATED_RETRY_AFTER_MS, {
    step: 'heap.check',
  })
);

/** Creates a refusal for a request that an instance may have run. */
export const refuseUnknown = (
  reason: string,
  options: StepErrorOptions,
  status = STATUS_BAD_GATEWAY,
): Extract<AttemptOutcome, { kind: 'refused' }> => ({
  kind: 'refused',
  reachedInstance: true,
  refusal: new RefusalError(reason, { ...options, status, outcome: 'unknown' }),
});
