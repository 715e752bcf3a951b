import type { CallDetector, RequestOrigin } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { EgressLink } from '../http/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import type { EventLoopMonitor, HeapGuard, Logger } from '../telemetry/mod.ts';
import type { CallerHeaders } from './_caller_request.ts';
import type { BodyBudget } from './body_budget.ts';
import type { DispatchQueue } from './dispatch_queue.ts';
import type { RequestSender } from './request_sender.ts';
import type { AttemptOutcome } from './request.ts';
import type { RouteTable } from './route_table.ts';
import type { ShutdownTracker } from './shutdown_tracker.ts';

/** How a request of a caller ended. */
export interface RequestSummary {
  readonly route: string;
  /** Kind of the route. */
  readonly kind: string;
  /** `gone`: the caller disconnected before the response was complete. */
  readonly outcome: AttemptOutcome['kind'] | 'no route' | 'gone';
  /** Step that refused the request; empty for other outcomes. */
  readonly reason: string;
  /** Status and cause of a refusal of a request that may have run. */
  readonly unknown?: { readonly status: number; readonly cause: string } | undefined;
  readonly durationMs: number;
  /** Whether the sender was known to be an instance, known to be a caller, or not known. */
  readonly origin?: RequestOrigin;
}

/** Options of the caller listener. */
export interface CallerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly headers: CallerHeaders;
  /** Returns the service of the instance on this host, which is set as a header of each request. */
  readonly callerService: () => string;
  /** Returns the current routes; undefined until the first contract has been read. */
  readonly routes: () => RouteTable | undefined;
  /** Orders the requests of both listeners of this process. */
  readonly dispatch: DispatchQueue;
  readonly sender: RequestSender;
  /** Link of this host, over which responses are sent. */
  readonly link: EgressLink;
  /** Memory for request bodies; by default, a budget of this listener's own. */
  readonly bodies?: BodyBudget;
  /** Refuses requests before the heap is full; by default, none is refused for it. */
  readonly heap?: Pick<HeapGuard, 'mayAccept'>;
  readonly shutdown: ShutdownTracker;
  /** Decides on and records the ends of connections; by default, they are not recorded. */
  readonly ends?: Pick<EndOwner, 'forListener'>;
  /**
   * Tells nested calls of the instance of this host from callers' requests; without it, no request
   * counts as a call.
   */
  readonly callDetector?: Omit<CallDetector, 'startRun'>;
  /** Records how long requests wait for the event loop. */
  readonly eventLoop?: Pick<EventLoopMonitor, 'record'>;
  readonly logger: Logger;
  /** Returns uniform numbers from 0 to less than 1. */
  readonly random: () => number;
  /** Called once a request has ended. */
  readonly onRequestEnd?: (summary: RequestSummary) => void;
}
