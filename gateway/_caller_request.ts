import type { IncomingMessage } from 'node:http';
import type { PublishedRoute } from '../contract/mod.ts';
import { endToEndHeaders } from '../forward/mod.ts';
import { firstHeaderValue } from './_http_messages.ts';
import type { GatewayRequest } from './request.ts';
import { createRequestAgeEstimator } from './request_age_estimator.ts';
import { chooseService, type RouteTable } from './route_table.ts';
import type { ShutdownTracker } from './shutdown_tracker.ts';

/** Lower-case names of the headers that callers and instances use. */
export interface CallerHeaders {
  readonly requestId: string;
  /** Time in ms that the caller waits for the response. */
  readonly remainingMs: string;
  /** Service of the calling instance; set by the node. */
  readonly callerService: string;
  /** Key of the request at a keyed service. */
  readonly key: string;
}

/** Options of a caller request reader. */
export interface CallerRequestReaderOptions {
  readonly headers: CallerHeaders;
  /** Returns the service of the instance on this host, which is set as a header of each request. */
  readonly callerService: () => string;
  /** Returns the current routes; undefined until the first contract has been read. */
  readonly routes: () => RouteTable | undefined;
  readonly shutdown: Pick<ShutdownTracker, 'answerBy'>;
  /** Returns uniform numbers from 0 to less than 1. */
  readonly random: () => number;
}

/** Reads the head of a request; returns undefined if its route has no service. */
export type CallerRequestReader = (
  message: IncomingMessage,
  route: PublishedRoute,
  arrivedAt: number,
  isNestedCall: boolean,
  signal: AbortSignal,
) => Omit<GatewayRequest, 'body'> | undefined;

/** Time to the deadline of a request that states no valid remaining time. */
const DEFAULT_DEADLINE_MS = 30_000;

const readRemainingMs = (message: IncomingMessage, headerNames: CallerHeaders) => {
  const sentMs = Number(firstHeaderValue(message, headerNames.remainingMs) ?? DEFAULT_DEADLINE_MS);
  return Number.isFinite(sentMs) ? sentMs : DEFAULT_DEADLINE_MS;
};

/** Returns the time in ms in which the caller and the route want a response. */
export const findTimeout = (
  message: IncomingMessage,
  headerNames: CallerHeaders,
  route: PublishedRoute,
): number => Math.min(readRemainingMs(message, headerNames), route.timeoutMs);

/**
 * Creates the function that turns the head of a caller's request into a request to be sent.
 *
 * @param options Header names, routes, shutdown tracker and random source.
 * @returns The reader.
 */
export const createCallerRequestReader = (
  options: CallerRequestReaderOptions,
): CallerRequestReader => {
  const { headers: headerNames } = options;
  const replacedHeaders = new Set([headerNames.callerService, headerNames.remainingMs]);
  const ageEstimator = createRequestAgeEstimator();

  return (message, route, arrivedAt, isNestedCall, signal) => {
    const service = chooseService(route, options.random);
    if (service === undefined) return undefined;
    const remainingMs = readRemainingMs(message, headerNames);
    const key = firstHeaderValue(message, headerNames.key);
    const isKeyed = options.routes()?.contract.services.get(service)?.keyed === true;
    const firstAttemptAt = arrivedAt - ageEstimator.ageMs(route.name, remainingMs);
    const latencyTargetAt = Math.min(
      arrivedAt + remainingMs,
      firstAttemptAt + route.targetLatencyMs,
    );
    const deadlineAt = arrivedAt + findTimeout(message, headerNames, route);
    const headers = endToEndHeaders(message.rawHeaders, replacedHeaders);
    headers.push(headerNames.callerService, options.callerService());
    return {
      requestId: firstHeaderValue(message, headerNames.requestId) ?? '',
      service,
      kind: route.kind,
      priority: route.priority,
      isNestedCall,
      workClass: `${route.kind}/${route.priority}/${route.targetLatencyMs}`,
      key: isKeyed && key !== undefined && /^\d+$/u.test(key) ? Number(key) : undefined,
      instance: undefined,
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers,
      deadlineAt: Math.min(deadlineAt, options.shutdown.answerBy()),
      latencyTargetAt,
      isCallerRetry: firstAttemptAt < arrivedAt,
      withheld: 0,
      signal,
    };
  };
};
