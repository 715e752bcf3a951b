/** How often a request of a route may run: once, or again after a failure. */
export type RouteKind = 'safe' | 'unsafe' | 'download';

/** A service that gets a part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative share of the requests. */
  readonly weight: number;
}

/** One route of the published contract; times are in ms. */
export interface PublishedRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full worth. */
  readonly targetLatencyMs: number;
  /** Rank of the requests; 0 is the highest. */
  readonly priority: number;
  /** Most instances to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
}

/** A service of the published contract. */
export interface PublishedService {
  readonly name: string;
  /** The service is divided by key. */
  readonly keyed: boolean;
  /** Connections that one instance accepts. */
  readonly maxConnections: number;
}

/** All routes and services that one revision of the operators' contract allows. */
export interface PublishedContract {
  readonly revision: number;
  readonly routes: readonly PublishedRoute[];
  readonly services: ReadonlyMap<string, PublishedService>;
}
