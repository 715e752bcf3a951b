import { type Outcome, RefusalError } from '../errors/mod.ts';
import { findHeader, hopHeaders } from './headers.ts';

const decode = (text: string | undefined): string => {
  try {
    return decodeURIComponent(text ?? '');
  } catch {
    return '';
  }
};

/**
 * Writes a refusal as headers between nodes.
 *
 * @param refusal The refusal.
 * @returns Names and values in turn.
 *
 * @example
 * response.writeHead(refusal.status, refusalHeaders(refusal));
 */
export const refusalHeaders = (refusal: RefusalError): string[] => {
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
 * Reads a refusal from the headers of a peer's answer.
 *
 * @param status Status of the answer.
 * @param raw Names and values in turn.
 * @param address Address of the peer, named when the refusal names none.
 * @returns The refusal, or undefined when the answer is not one.
 *
 * @example
 * const refusal = readRefusal(503, rawHeaders, '127.0.0.1:7001');
 */
export const readRefusal = (
  status: number,
  raw: readonly string[],
  address: string,
): RefusalError | undefined => {
  const text = findHeader(raw, hopHeaders.outcome);
  if (text === undefined) return undefined;
  const outcome: Outcome = text === 'not run' ? 'not run' : 'unknown';
  const retryAfter = Number(findHeader(raw, 'retry-after') ?? Number.NaN);
  return new RefusalError(decode(findHeader(raw, hopHeaders.reason)), {
    step: decode(findHeader(raw, hopHeaders.step)),
    peer: decode(findHeader(raw, hopHeaders.peer)) || address,
    status,
    outcome,
    ...(Number.isFinite(retryAfter) ? { retryAfterSeconds: retryAfter } : {}),
  });
};
