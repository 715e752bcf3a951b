import { RefusalError } from '../errors/mod.ts';

/** Status of a refusal for lack of a slot. */
export const STATUS_UNAVAILABLE = 503;
/** Status of a request whose caller has gone; nobody receives it. */
export const STATUS_CALLER_GONE = 499;

const MAX_RETRY_AFTER_SECONDS = 10;

/** Creates the refusals of one instance; `waitMs` is the time after which to retry. */
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
