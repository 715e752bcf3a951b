import type { Clock } from '../clock/mod.ts';
import type { EgressLink } from '../http/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import type { EventLoopMonitor, HeapGuard, Logger } from '../telemetry/mod.ts';
import type { BodyBudget } from './body_budget.ts';
import type { DispatchQueue } from './dispatch_queue.ts';
import type { LocalForwarder } from './local_forwarder.ts';
import type { ShutdownTracker } from './shutdown_tracker.ts';

/** Options of the peer listener. */
export interface PeerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  /** Lower-case name of the header that carries the request identifier. */
  readonly requestIdHeader: string;
  /** Orders the requests of both listeners of this process. */
  readonly dispatch: DispatchQueue;
  readonly local: LocalForwarder;
  /** Link of this host, over which responses are sent. */
  readonly link: EgressLink;
  /** Memory for request bodies; by default, a budget of this listener's own. */
  readonly bodies?: BodyBudget;
  /** Refuses requests before the heap is full; by default, none is refused for it. */
  readonly heap?: Pick<HeapGuard, 'mayAccept'>;
  readonly shutdown: ShutdownTracker;
  /** Decides on and records the ends of connections; by default, they are not recorded. */
  readonly ends?: Pick<EndOwner, 'forListener'>;
  /** Records how long requests wait for the event loop. */
  readonly eventLoop?: Pick<EventLoopMonitor, 'record'>;
  readonly logger: Logger;
  /** Returns the failure domain of the node at an IP address, if it is known. */
  readonly failureDomainOf?: (ipAddress: string) => string | undefined;
  /** Called when a request is refused, with the step and the sender's failure domain. */
  readonly onRefusal?: (step: string, failureDomain: string) => void;
  /** Handles a control message from a peer; resolves to undefined for an unknown path. */
  readonly handleControlMessage: (path: string) => Promise<string | undefined>;
}
