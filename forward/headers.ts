/** Headers used only between nodes; they are removed from callers' requests and responses. */
export const hopHeaders = {
  request: 'mh-request',
  attempt: 'mh-attempt',
  /** Time in ms until the deadline of the request. */
  remainingMs: 'mh-remaining-ms',
  customer: 'mh-customer',
  /** Weight of the customer in fair queueing. */
  share: 'mh-share',
  requestClass: 'mh-class',
  service: 'mh-service',
  key: 'mh-key',
  instance: 'mh-instance',
  /** Version of the placement record that the routing decision is based on. */
  version: 'mh-version',
  load: 'mh-load',
  /** Fractions of the requests that senders are to withhold; absent if none. */
  excess: 'mh-excess',
  /** Time in ms from the arrival of a request at the node to the head of its response. */
  spentMs: 'mh-spent-ms',
  reached: 'mh-reached',
  /** In an interim response: the instance seems not to answer the request, which goes on. */
  silent: 'mh-silent',
  /** In a refusal of a node that accepts no further requests. */
  stopping: 'mh-stopping',
  outcome: 'mh-outcome',
  step: 'mh-step',
  peer: 'mh-peer',
  reason: 'mh-reason',
  /** Time in ms since a request was sent, in its cancellation. */
  ageMs: 'mh-age-ms',
} as const;

/** Header with the request identifier in responses to callers and requests to upstreams. */
export const REQUEST_ID_HEADER = 'x-request-id';

const HOP_HEADER_PREFIX = 'mh-';

const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

/** Routing, framing and content headers that a `Connection` header cannot remove. */
const PROTECTED_HEADERS = new Set(['host', 'content-length', 'content-type', 'content-encoding']);

const NO_HEADERS: ReadonlySet<string> = new Set();

const connectionOptions = (raw: readonly string[]): ReadonlySet<string> => {
  let named: Set<string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() !== 'connection') continue;
    for (const option of raw[index + 1]!.split(',')) {
      const name = option.trim().toLowerCase();
      if (name === '' || name === 'close' || name === 'keep-alive') continue;
      named ??= new Set();
      if (!PROTECTED_HEADERS.has(name)) named.add(name);
    }
  }
  return named ?? NO_HEADERS;
};

/**
 * Removes hop-by-hop headers: those of RFC 9110 section 7.6.1, those listed in `Connection`, and
 * the headers used only between nodes.
 *
 * @param raw Names and values in turn, as in `IncomingMessage.rawHeaders`.
 * @param dropped Additional names to remove, in lower case.
 * @returns Names and values in turn, in a new array.
 *
 * @example
 * endToEndHeaders(['Connection', 'x-a', 'X-A', '1', 'Accept', '*']); // ['Accept', '*']
 */
export const endToEndHeaders = (
  raw: readonly string[],
  dropped: ReadonlySet<string> = NO_HEADERS,
): string[] => {
  const named = connectionOptions(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || named.has(name) || dropped.has(name)) continue;
    if (!name.startsWith(HOP_HEADER_PREFIX)) kept.push(raw[index]!, raw[index + 1]!);
  }
  return kept;
};

/**
 * Returns the first value of a header.
 *
 * @param raw Names and values in turn.
 * @param name Name of the header in lower case.
 * @returns The value, or undefined if the header is absent.
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
