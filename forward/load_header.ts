import type { AdmissionLoad } from '../admission/mod.ts';

/**
 * Writes a load as a header value.
 *
 * @param load The load of an instance.
 * @returns Counts in flight and queued, limit and service rate, separated by commas.
 *
 * @example
 * formatLoad({ inFlight: 1, queued: 0, limit: 6, serviceRate: 100 }); // '1,0,6,100'
 */
export const formatLoad = (load: AdmissionLoad): string => (
  `${load.inFlight},${load.queued},${load.limit},${load.serviceRate}`
);

/**
 * Reads a load from a header value.
 *
 * @param text The value, if there was one.
 * @returns The load, or undefined when the value is malformed.
 *
 * @example
 * parseLoad('1,0,6,100')?.limit; // 6
 */
export const parseLoad = (text: string | undefined): AdmissionLoad | undefined => {
  if (text === undefined) return undefined;
  const numbers = text.split(',').map(Number);
  const [inFlight, queued, limit, serviceRate] = numbers;
  if (numbers.length !== 4 || !numbers.every((value) => Number.isFinite(value) && value >= 0)) {
    return undefined;
  }
  return {
    inFlight: inFlight!, queued: queued!, limit: limit!, serviceRate: serviceRate!,
  };
};
