/** Kind of route. A request of an `unsafe` route may run at most once; others may be retried. */
export type RouteKind = 'safe' | 'unsafe' | 'download';

/** A service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  /** Relative weight of the service among the targets of the route. */
  readonly weight: number;
}

/** A route of the published contract. */
export interface PublishedRoute {
  readonly name: string;
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Deadline of a request: maximum time until its response begins. */
  readonly timeoutMs: number;
  /** Latency target. A later response is of less value to the caller. */
  readonly targetLatencyMs: number;
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number;
  /** Maximum number of instances to which a request is sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
}

/** A service of the published contract. */
export interface PublishedService {
  readonly name: string;
  /** The service is partitioned by key. */
  readonly keyed: boolean;
  /** Maximum number of connections that an instance accepts. */
  readonly maxConnections: number;
  /** Requests per second that a cold instance can handle; absent if it needs no limit. */
  readonly coldPerSecond?: number;
}

/** The routes and services in one revision of the contract that the operators publish. */
export interface PublishedContract {
  readonly revision: number;
  readonly routes: readonly PublishedRoute[];
  readonly services: ReadonlyMap<string, PublishedService>;
}
