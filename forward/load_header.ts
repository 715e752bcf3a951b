import type { AdmissionLoad, ExcessDemand } from '../admission/mod.ts';
import { findHeader, hopHeaders } from './headers.ts';

const PERCENT = 100;

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

/**
 * Formats the excess demand at an instance as a header value.
 *
 * @param excess Fractions of the requests to withhold.
 * @returns Percentages of the timely and the late requests, and of the nested calls that fail if
 *   there are any; undefined if all are 0.
 *
 * @example
 * formatExcess({ timely: 0.25, late: 0.5 }); // '25,50'
 */
export const formatExcess = (excess: ExcessDemand | undefined): string | undefined => {
  if (excess === undefined) return undefined;
  const { timely, late, callFailures = 0 } = excess;
  const percentages = [timely, late, callFailures].map((part) => Math.round(part * PERCENT));
  // Nodes without the third figure accept two only.
  if (percentages[2] === 0) percentages.pop();
  return percentages.every((part) => part === 0) ? undefined : percentages.join();
};

/**
 * Parses the excess demand at an instance from a header value.
 *
 * @param text Header value, or undefined if the header is absent.
 * @returns The fractions, or undefined if the value is absent or malformed.
 *
 * @example
 * parseExcess('25,50')?.late; // 0.5
 */
export const parseExcess = (text: string | undefined): ExcessDemand | undefined => {
  if (text === undefined) return undefined;
  const fractions = text.split(',').map((part) => Number(part) / PERCENT);
  const [timely, late, callFailures] = fractions;
  const areFractions = fractions.every((part) => part >= 0 && part <= 1);
  if (fractions.length < 2 || fractions.length > 3 || !areFractions) {
    return undefined;
  }
  return {
    timely: timely!, late: late!, ...(callFailures === undefined ? {} : { callFailures }),
  };
};

/**
 * Returns the headers by which a node reports the load of its instance with a response.
 *
 * @param load Load of the instance.
 * @param spentMs Time in ms that the node has spent on the request, from which the sender computes
 * the round trip; not sent if undefined.
 * @returns Names and values in turn.
 *
 * @example
 * headers.push(...loadHeaders(load));
 */
export const loadHeaders = (load: AdmissionLoad, spentMs?: number): readonly string[] => {
  const excess = formatExcess(load.excess);
  const headers = [hopHeaders.load, formatLoad(load)];
  if (excess !== undefined) headers.push(hopHeaders.excess, excess);
  if (spentMs !== undefined) headers.push(hopHeaders.spentMs, spentMs.toFixed(1));
  return headers;
};

/**
 * Reads the time that a node has spent on a request from the headers of its response.
 *
 * @param rawHeaders Names and values in turn.
 * @returns The time in ms, or undefined if it is absent or malformed.
 *
 * @example
 * const spentMs = readSpentMs(rawHeaders);
 */
export const readSpentMs = (rawHeaders: readonly string[]): number | undefined => {
  const spentMs = Number(findHeader(rawHeaders, hopHeaders.spentMs) ?? NaN);
  return spentMs >= 0 && Number.isFinite(spentMs) ? spentMs : undefined;
};

/**
 * Reads the load of an instance from the headers of a response.
 *
 * @param rawHeaders Names and values in turn.
 * @returns The load, or undefined if it is absent or malformed.
 *
 * @example
 * const load = readLoad(rawHeaders);
 */
export const readLoad = (rawHeaders: readonly string[]): AdmissionLoad | undefined => {
  const load = parseLoad(findHeader(rawHeaders, hopHeaders.load));
  const excess = parseExcess(findHeader(rawHeaders, hopHeaders.excess));
  return load === undefined || excess === undefined ? load : { ...load, excess };
};
