import type { IncomingMessage } from 'node:http';
import type { RouteMatch } from '../contract/mod.ts';
import { findHeader } from '../forward/mod.ts';

/** Path and query of a request target; the query has no leading `?`. */
export interface RequestTarget {
  readonly path: string;
  readonly query: string;
}

/** Visible ASCII without the characters that intermediaries interpret differently. */
const ALLOWED_TARGET = /^\/[\x21\x24-\x5b\x5d\x5f\x61-\x7a\x7c\x7e]*$/u;

/** Dot segments, which an upstream may resolve to a path other than the routed one. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/iu;

const ENCODED_CONTROL_CHARACTER = /%(?:[01][0-9a-f]|7f)/iu;

const countHeader = (raw: readonly string[], name: string): number => {
  let count = 0;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]!.length === name.length && raw[index]!.toLowerCase() === name) count += 1;
  }
  return count;
};

/**
 * Guards against request smuggling: finds input that this node and an upstream could parse as
 * different requests. The HTTP parser rejects the rest: invalid chunks, both framing headers and
 * repeated lengths.
 *
 * @param message The request.
 * @returns A description of the problem, or undefined.
 *
 * @example
 * const problem = findRequestProblem(message);
 */
export const findRequestProblem = (message: IncomingMessage): string | undefined => {
  const raw = message.rawHeaders;
  if (countHeader(raw, 'host') !== 1) return 'exactly one Host header is required';
  if (!/^[\w.:[\]-]+$/u.test(message.headers.host ?? '')) return 'the Host header is invalid';
  const lengths = countHeader(raw, 'content-length');
  const transferEncodings = countHeader(raw, 'transfer-encoding');
  if (lengths > 1) return 'Content-Length is repeated';
  if (lengths > 0 && transferEncodings > 0) return 'Content-Length and Transfer-Encoding are given';
  if (transferEncodings > 0) {
    const encoding = findHeader(raw, 'transfer-encoding')?.trim().toLowerCase();
    if (transferEncodings > 1 || encoding !== 'chunked') return 'Transfer-Encoding is not chunked';
    if (message.httpVersion !== '1.1') return 'Transfer-Encoding needs HTTP/1.1';
  }
  return undefined;
};

/**
 * Splits a request target into path and query.
 *
 * @param target Target from the request line.
 * @returns The parts, or undefined if the target is not an absolute path with an optional query.
 *
 * @example
 * parseTarget('/a?b=c'); // { path: '/a', query: 'b=c' }
 */
export const parseTarget = (target: string): RequestTarget | undefined => {
  if (!ALLOWED_TARGET.test(target)) return undefined;
  const separator = target.indexOf('?');
  const path = separator < 0 ? target : target.slice(0, separator);
  if (DOT_SEGMENT.test(path) || ENCODED_CONTROL_CHARACTER.test(path) || path.startsWith('//')) {
    return undefined;
  }
  return { path, query: separator < 0 ? '' : target.slice(separator + 1) };
};

/**
 * Extracts the key of a request from the source that its route defines.
 *
 * @param match Matched route.
 * @param query Query of the request target.
 * @param raw Names and values of the request headers in turn.
 * @returns The key, or undefined if the route has no key or the request lacks it.
 *
 * @example
 * const key = findKey(match, target.query, message.rawHeaders);
 */
export const findKey = (
  match: RouteMatch,
  query: string,
  raw: readonly string[],
): string | undefined => {
  const source = match.route.key;
  if (source === undefined) return undefined;
  if (source.from === 'path') return match.parameters.get(source.name);
  const value = source.from === 'header'
    ? findHeader(raw, source.name.toLowerCase())
    : new URLSearchParams(query).get(source.name);
  return value === '' || value === null ? undefined : value;
};
