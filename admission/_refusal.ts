import { RefusalError } from '../errors/mod.ts';

/** HTTP status of a refusal for lack of capacity. */
export const STATUS_UNAVAILABLE = 503;
/** HTTP status of a request that its caller has cancelled; nobody receives it. */
export const STATUS_CALLER_GONE = 499;

const MAX_RETRY_AFTER_SECONDS = 10;

/** Returns a function that creates refusals of one instance, to be retried after `waitMs`. */
export const createRefusal = (instance: string | undefined) => (
  reason: string,
  status: number,
  waitMs: number,
): RefusalError => {
  const seconds = Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(waitMs / 1000)));
  return new RefusalError(reason, {
    step: 'admission.acquire',
    peer: instance,
    status,
    outcome: 'not run',
    retryAfterSeconds: seconds,
  });
};
