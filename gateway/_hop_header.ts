import type { RouteKind } from '../contract/mod.ts';
import type { GatewayRequest } from './request.ts';

/**
 * Name of the header that carries the routing metadata of a request to a peer. All fields share one
 * short header, because traffic between failure domains is billed by the byte.
 */
export const HOP_HEADER = 'mh-hop';

/** Routing metadata that a node sends to a peer with the request. */
export type HopFields = Pick<
  GatewayRequest,
  'service' | 'kind' | 'priority' | 'workClass' | 'key' | 'instance' | 'isCallerRetry' | 'withheld'
  | 'isNestedCall'
> & {
  /** Time in ms until the deadline. */
  readonly remainingMs: number;
  /** Time in ms until the latency target; negative when it has passed. */
  readonly latencyTargetMs: number;
};

/** Bounds what a faulty peer can add to the demand at an instance. */
const MAX_WITHHELD = 1000;

const kindByName: Readonly<Record<string, RouteKind>> = {
  safe: 'safe', unsafe: 'unsafe', download: 'download',
};

/**
 * Encodes the routing metadata of a request as a header value.
 *
 * @param request The request.
 * @param now Current monotonic time in ms.
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
  Math.floor(request.latencyTargetAt - now),
  request.key ?? null,
  request.instance ?? null,
  Number(request.isCallerRetry),
  ...(request.withheld > 0 || request.isNestedCall ? [request.withheld] : []),
  ...(request.isNestedCall ? [1] : []),
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
 * Decodes the routing metadata from a header value.
 *
 * @param text The header value, or undefined when the header is missing.
 * @returns The metadata, or undefined when the value is missing or malformed.
 *
 * @example
 * const fields = parseHop(firstHeaderValue(message, HOP_HEADER));
 */
export const parseHop = (text: string | undefined): HopFields | undefined => {
  if (text === undefined) return undefined;
  const [
    service, kindName, priority, workClass, remainingMs, latencyTargetMs, key, instance,
    isCallerRetry, withheld, isNestedCall,
  ] = parseArray(text);
  const kind = typeof kindName === 'string' ? kindByName[kindName] : undefined;
  if (typeof service !== 'string' || kind === undefined || typeof workClass !== 'string') {
    return undefined;
  }
  if (typeof priority !== 'number' || typeof remainingMs !== 'number') return undefined;
  if (typeof latencyTargetMs !== 'number') return undefined;
  return {
    service,
    kind,
    priority,
    workClass,
    remainingMs,
    latencyTargetMs,
    key: typeof key === 'number' ? key : undefined,
    instance: typeof instance === 'string' ? instance : undefined,
    isCallerRetry: isCallerRetry === 1,
    withheld: typeof withheld === 'number' ? Math.min(Math.max(0, withheld), MAX_WITHHELD) : 0,
    isNestedCall: isNestedCall === 1,
  };
};
