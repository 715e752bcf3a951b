import type { AdmissionLoad } from '../admission/mod.ts';
import type { RequestClass, ServiceDefinition } from '../contract/mod.ts';

/** A request to be routed to an instance. */
export interface RoutingRequest {
  readonly requestId: string;
  readonly service: ServiceDefinition;
  /** Routing key; required when the service is partitioned by key. */
  readonly key: string | undefined;
  readonly requestClass: RequestClass;
  /** Instances already tried, which must not be chosen again. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * The chosen instance. `local`: it runs behind this node. `peer`: it runs behind another node that
 * is reached at `peerAddress`.
 */
export interface RouteTarget {
  readonly kind: 'local' | 'peer';
  readonly instance: string;
  readonly node: string;
  readonly peerAddress: string;
  readonly reason: string;
  /** Version of the placement record used; 0 for a service that is not partitioned by key. */
  readonly version: number;
}

/**
 * No instance was chosen. `wait`: the key is moving to another owner; call `decide` again once the
 * placement record has changed. `none`: there is no owner or no eligible instance.
 */
export interface NoTarget {
  readonly kind: 'wait' | 'none';
  readonly reason: string;
  readonly version: number;
}

/** The outcome of routing one request. */
export type RoutingDecision = RouteTarget | NoTarget;

/** Outcome of one attempt, as observed by the node that received the request. */
export interface AttemptReport {
  readonly service: string;
  readonly instance: string;
  readonly requestClass: RequestClass;
  readonly durationMs: number;
  readonly outcome: 'success' | 'failure' | 'refused' | 'timeout' | 'cancelled';
  /** Load that the instance reported with the response; `undefined` without a report. */
  readonly load: AdmissionLoad | undefined;
}

/** Chooses an instance for each request and logs each decision. */
export interface Router {
  readonly decide: (request: RoutingRequest) => RoutingDecision;
  /**
   * Waits for a placement record newer than `version`.
   *
   * @returns True once there is one; false after `timeoutMs` or when `signal` aborts.
   */
  readonly waitForChange: (
    service: string,
    version: number,
    timeoutMs: number,
    signal: AbortSignal,
  ) => Promise<boolean>;
  readonly report: (report: AttemptReport) => void;
  /** Delay in ms after which a lookup may be hedged; `undefined` while it must not be hedged. */
  readonly hedgeDelayMs: (service: string) => number | undefined;
}
