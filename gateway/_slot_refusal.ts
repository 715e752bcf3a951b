import { RefusalError, type RefusalFigures } from '../errors/mod.ts';

/** Why the slot queue refused a request. */
export type SlotRefusalCause = 'wait' | 'expired' | 'deadline' | 'gone';

const reasonByCause: Readonly<Record<SlotRefusalCause, string>> = {
  wait: 'the wait would be too long',
  expired: 'no slot was free in time',
  deadline: 'the deadline has passed',
  gone: 'the caller has gone',
};
const STATUS_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;
/** A caller that returns sooner mostly finds the same requests in the slots. */
const MIN_RETRY_AFTER_MS = 60;

/** Creates the refusal of a request that gets no slot of an instance. */
export const createSlotRefusal = (
  cause: SlotRefusalCause,
  instance: string,
  retryAfterMs: number,
  figures: RefusalFigures,
): RefusalError => new RefusalError(reasonByCause[cause], {
  step: 'admission.acquire',
  peer: instance,
  status: STATUS_UNAVAILABLE,
  outcome: 'not run',
  retryAfterSeconds: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs) / MS_PER_SECOND,
  figures,
});
