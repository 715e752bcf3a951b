import type { AdmissionLoad } from '../admission/mod.ts';

/**
 * Formats the load of an instance as a header value.
 *
 * @param load Load of the instance.
 * @returns Requests in flight, queued requests, limit and service rate, separated by commas.
 *
 * @example
 * formatLoad({ inFlight: 1, queued: 0, limit: 6, serviceRate: 100 }); // '1,0,6,100'
 */
export const formatLoad = (load: AdmissionLoad): string => (
  `${load.inFlight},${load.queued},${load.limit},${load.serviceRate}`
);

/**
 * Parses the load of an instance from a header value.
 *
 * @param text Header value, or undefined if the header is absent.
 * @returns The load, or undefined if the value is absent or malformed.
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
