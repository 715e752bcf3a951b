import type { RouteKind } from '../contract/mod.ts';
import type { GatewayRequest } from './request.ts';

/**
 * Name of the header that tells a peer about a request. One short header in place of one for each
 * field, because bytes between failure domains are paid for.
 */
export const HOP_HEADER = 'mh-hop';

/** What a node tells a peer about a request beside its method, path, headers and body. */
export type HopFields = Pick<
  GatewayRequest,
  'service' | 'kind' | 'priority' | 'workClass' | 'key' | 'instance' | 'hasReturned'
> & {
  /** Time in ms until the deadline. */
  readonly remainingMs: number;
  /** Time in ms until the target; negative when it has passed. */
  readonly targetMs: number;
};

const kinds: Readonly<Record<string, RouteKind>> = {
  safe: 'safe', unsafe: 'unsafe', download: 'download',
};

/**
 * Writes the fields as a header value.
 *
 * @param request The request.
 * @param now Monotonic time in ms.
 * @returns A JSON array.
 *
 * @example
 * headers.push(HOP_HEADER, formatHop(request, clock.now()));
 */
export const formatHop = (request: GatewayRequest, now: number): string => JSON.stringify([
  request.service,
  request.kind,
  request.priority,
  request.workClass,
  Math.max(1, Math.floor(request.deadlineAt - now)),
  Math.floor(request.targetAt - now),
  request.key ?? null,
  request.instance ?? null,
  Number(request.hasReturned),
]);

const parseArray = (text: string): readonly unknown[] => {
  try {
    const value: unknown = JSON.parse(text);
    return Array.isArray(value) ? value : [];
  } catch {
    return [];
  }
};

/**
 * Reads the fields from a header value.
 *
 * @param text The value, if there was one.
 * @returns The fields, or undefined when the value is malformed.
 *
 * @example
 * const fields = parseHop(headerOf(message, HOP_HEADER));
 */
export const parseHop = (text: string | undefined): HopFields | undefined => {
  if (text === undefined) return undefined;
  const [
    service, kindName, priority, workClass, remainingMs, targetMs, key, instance, hasReturned,
  ] = parseArray(text);
  const kind = typeof kindName === 'string' ? kinds[kindName] : undefined;
  if (typeof service !== 'string' || kind === undefined || typeof workClass !== 'string') {
    return undefined;
  }
  if (typeof priority !== 'number' || typeof remainingMs !== 'number') return undefined;
  if (typeof targetMs !== 'number') return undefined;
  return {
    service,
    kind,
    priority,
    workClass,
    remainingMs,
    targetMs,
    key: typeof key === 'number' ? key : undefined,
    instance: typeof instance === 'string' ? instance : undefined,
    hasReturned: hasReturned === 1,
  };
};
