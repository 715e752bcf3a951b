import type { IncomingMessage } from 'node:http';
import type { RouteMatch } from '../contract/mod.ts';
import { findHeader } from '../forward/mod.ts';

/** Path and query of a request target. */
export interface RequestPath {
  readonly path: string;
  readonly query: string;
}

/** Visible ASCII without the characters that intermediaries treat differently. */
const TARGET = /^\/[\x21\x24-\x5b\x5d\x5f\x61-\x7a\x7c\x7e]*$/u;

/** Path segments that a server may resolve after the route was chosen. */
const DOT_SEGMENT = /(?:^|\/)(?:\.|%2e){1,2}(?:\/|$)/iu;

const ENCODED_CONTROL = /%(?:[01][0-9a-f]|7f)/iu;

const countHeader = (raw: readonly string[], name: string): number => {
  let count = 0;
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index]!.length === name.length && raw[index]!.toLowerCase() === name) count += 1;
  }
  return count;
};

/**
 * Looks for input that this node and an upstream could read as different requests. The HTTP parser
 * refuses the rest: bad chunking, both framing headers, repeated lengths.
 *
 * @returns What is wrong, or undefined.
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

/** Splits a request target; undefined when it is not a plain absolute path with a query. */
export const parseTarget = (target: string): RequestPath | undefined => {
  if (!TARGET.test(target)) return undefined;
  const separator = target.indexOf('?');
  const path = separator < 0 ? target : target.slice(0, separator);
  if (DOT_SEGMENT.test(path) || ENCODED_CONTROL.test(path) || path.startsWith('//')) {
    return undefined;
  }
  return { path, query: separator < 0 ? '' : target.slice(separator + 1) };
};

/** Takes the key of a request from where its route says; undefined when it is missing. */
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
