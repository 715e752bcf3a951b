/** Headers that travel between nodes only; they are removed from callers' requests and answers. */
export const hopHeaders = {
  request: 'mh-request',
  attempt: 'mh-attempt',
  remainingMs: 'mh-remaining-ms',
  customer: 'mh-customer',
  share: 'mh-share',
  requestClass: 'mh-class',
  service: 'mh-service',
  key: 'mh-key',
  instance: 'mh-instance',
  version: 'mh-version',
  load: 'mh-load',
  reached: 'mh-reached',
  outcome: 'mh-outcome',
  step: 'mh-step',
  peer: 'mh-peer',
  reason: 'mh-reason',
  ageMs: 'mh-age-ms',
} as const;

/** Request identifier in answers to callers and in requests to upstreams. */
export const REQUEST_ID_HEADER = 'x-request-id';

const HOP_HEADER_PREFIX = 'mh-';

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Framing and routing headers that a `Connection` header cannot remove. */
const PROTECTED = new Set(['host', 'content-length', 'content-type', 'content-encoding']);

const NONE: ReadonlySet<string> = new Set();

const namedByConnection = (raw: readonly string[]): ReadonlySet<string> => {
  let named: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() !== 'connection') continue;
    for (const option of raw[index + 1]!.split(',')) {
      const name = option.trim().toLowerCase();
      if (name === '' || name === 'close' || name === 'keep-alive') continue;
      named ??= new Set();
      if (!PROTECTED.has(name)) named.add(name);
    }
  }
  return named ?? NONE;
};

/**
 * Removes the headers that concern one hop only: those of RFC 9110 section 7.6.1, those that
 * `Connection` names, and the router's own.
 *
 * @param raw Names and values in turn, as `IncomingMessage.rawHeaders`.
 * @param dropped Further names to remove, in lower case.
 * @returns Names and values in turn, in a new array.
 *
 * @example
 * endToEndHeaders(['Connection', 'x-a', 'X-A', '1', 'Accept', '*']); // ['Accept', '*']
 */
export const endToEndHeaders = (
  raw: readonly string[],
  dropped: ReadonlySet<string> = NONE,
): string[] => {
  const named = namedByConnection(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (HOP_BY_HOP.has(name) || named.has(name) || dropped.has(name)) continue;
    if (!name.startsWith(HOP_HEADER_PREFIX)) kept.push(raw[index]!, raw[index + 1]!);
  }
  return kept;
};

/**
 * Finds the first value of a header.
 *
 * @param raw Names and values in turn.
 * @param name The header's name in lower case.
 * @returns The value, or undefined.
 *
 * @example
 * findHeader(['Accept', '*'], 'accept'); // '*'
 */
export const findHeader = (raw: readonly string[], name: string): string | undefined => {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.length === name.length && raw[index]!.toLowerCase() === name) {
      return raw[index + 1];
    }
  }
  return undefined;
};
