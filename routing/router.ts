import type { AdmissionLoad } from '../admission/mod.ts';
import type { RequestClass, ServiceDefinition } from '../contract/mod.ts';

/** A request for which an instance is to be chosen. */
export interface RoutingRequest {
  readonly requestId: string;
  readonly service: ServiceDefinition;
  /** Key of the request; required when the service is divided by key. */
  readonly key: string | undefined;
  readonly requestClass: RequestClass;
  /** Instances that have been tried and are not to be chosen again. */
  readonly excluded: ReadonlySet<string>;
}

/** The chosen instance is beside this node or beside a peer. */
export interface RouteTarget {
  readonly kind: 'local' | 'peer';
  readonly instance: string;
  readonly node: string;
  readonly peerAddress: string;
  readonly reason: string;
  /** Version of the placement record used; 0 for a service that is not divided by key. */
  readonly version: number;
}

/**
 * `wait`: the key is being moved; decide again after the record changes. `none`: no owner or
 * instance.
 */
export interface NoTarget {
  readonly kind: 'wait' | 'none';
  readonly reason: string;
  readonly version: number;
}

/** Where a request goes. */
export type RoutingDecision = RouteTarget | NoTarget;

/** How an attempt ended, as the ingress saw it. */
export interface AttemptReport {
  readonly service: string;
  readonly instance: string;
  readonly requestClass: RequestClass;
  readonly durationMs: number;
  readonly outcome: 'success' | 'failure' | 'refused' | 'timeout' | 'cancelled';
  /** Load that came back with the answer. */
  readonly load: AdmissionLoad | undefined;
}

/** Chooses an instance for each request and logs a line for each decision. */
export interface Router {
  readonly decide: (request: RoutingRequest) => RoutingDecision;
  /** Resolves to true when the record is newer than `version`, to false after `timeoutMs`. */
  readonly waitForChange: (
    service: string,
    version: number,
    timeoutMs: number,
    signal: AbortSignal,
  ) => Promise<boolean>;
  readonly report: (report: AttemptReport) => void;
  /** Delay in ms after which a lookup may be hedged; `undefined` while hedging is off. */
  readonly hedgeDelayMs: (service: string) => number | undefined;
}
