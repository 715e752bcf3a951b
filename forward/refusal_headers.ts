import { type Outcome, RefusalError } from '../errors/mod.ts';
import { findHeader, hopHeaders } from './headers.ts';

const decodeValue = (text: string | undefined): string => {
  try {
    return decodeURIComponent(text ?? '');
  } catch {
    return '';
  }
};

/**
 * Encodes a refusal as hop headers.
 *
 * @param refusal Refusal to encode.
 * @returns Names and values in turn.
 *
 * @example
 * response.writeHead(refusal.status, encodeRefusal(refusal));
 */
export const encodeRefusal = (refusal: RefusalError): string[] => {
  const headers = [
    hopHeaders.outcome, refusal.outcome,
    hopHeaders.step, encodeURIComponent(refusal.step),
    hopHeaders.peer, encodeURIComponent(refusal.peer),
    hopHeaders.reason, encodeURIComponent(refusal.reason),
  ];
  const { retryAfterSeconds } = refusal;
  if (retryAfterSeconds !== undefined) headers.push('retry-after', String(retryAfterSeconds));
  return headers;
};

/**
 * Decodes a refusal from the response of a peer.
 *
 * @param status Status code of the response.
 * @param raw Names and values of the response headers in turn.
 * @param address Address of the peer, used if the refusal names no peer.
 * @returns The refusal, or undefined if the response is not a refusal.
 *
 * @example
 * const refusal = decodeRefusal(503, rawHeaders, '127.0.0.1:7001');
 */
export const decodeRefusal = (
  status: number,
  raw: readonly string[],
  address: string,
): RefusalError | undefined => {
  const text = findHeader(raw, hopHeaders.outcome);
  if (text === undefined) return undefined;
  const outcome: Outcome = text === 'not run' ? 'not run' : 'unknown';
  const retryAfter = Number(findHeader(raw, 'retry-after') ?? Number.NaN);
  return new RefusalError(decodeValue(findHeader(raw, hopHeaders.reason)), {
    step: decodeValue(findHeader(raw, hopHeaders.step)),
    peer: decodeValue(findHeader(raw, hopHeaders.peer)) || address,
    status,
    outcome,
    ...(Number.isFinite(retryAfter) ? { retryAfterSeconds: retryAfter } : {}),
  });
};
