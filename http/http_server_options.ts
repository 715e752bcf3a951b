import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../clock/mod.ts';
import type { ConnectionEnds } from '../lifecycle/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';

/** A listener for HTTP requests. */
export interface HttpListener {
  /** Starts listening; resolves to the bound host and port. */
  readonly listen: () => Promise<string>;
  /** Returns whether connections are accepted. */
  readonly isListening: () => boolean;
  /**
   * Stops accepting connections and resolves once requests in flight are answered and idle
   * connections are closed.
   */
  readonly stop: () => Promise<void>;
  /**
   * Accepts and reads what has arrived, at most until a time, monotonic in ms; resolves to the
   * number of requests that were read.
   */
  readonly readArrived: (endsBy: number) => Promise<number>;
  /** Closes all connections without an open request at once, before the process ends. */
  readonly closeIdle: () => void;
  /** Destroys all connections at once, as a crash of the process does. */
  readonly kill: () => void;
}

/** Meaning of a request's `Expect` header: absent, `100-continue` or unsupported. */
export type Expectation = 'none' | 'continue' | 'other';

/** Options of `createHttpServer`. */
export interface HttpServerOptions {
  readonly clock: Clock;
  /** Host and port to bind; port 0 selects a free port. */
  readonly address: string;
  readonly maxHeaderBytes: number;
  /** Time in ms after `stop` during which requests on open connections are still served. */
  readonly idleGraceMs: number;
  /** Enables mutual TLS: clients must present a certificate signed by the authority. */
  readonly tls?: TlsMaterial;
  /**
   * Handles a request once those before it on its connection have been answered; `readAt` is the
   * time in ms at which its head was read.
   */
  readonly handle: (
    request: IncomingMessage,
    response: ServerResponse,
    expect: Expectation,
    readAt: number,
  ) => void;
  /**
   * Returns whether there is memory for a request, whose head may be cut down otherwise. Called as
   * soon as the head is read, since many requests may be read before one of them is handled.
   */
  readonly hasRoom?: (request: IncomingMessage) => boolean;
  /** Handles, in its turn, a request without room in place of `handle`. */
  readonly refuseWithoutRoom?: (request: IncomingMessage, response: ServerResponse) => void;
  /** Decides on and records the ends of connections; by default, they are not recorded. */
  readonly ends?: ConnectionEnds;
  /** Called when `handle` throws, before status 500 is sent; without it, the error is thrown on. */
  readonly onHandleError?: (error: unknown, request: IncomingMessage) => void;
  /** Called when the operating system fails to hand over a connection that it has accepted. */
  readonly onAcceptError?: (error: Error) => void;
  /** Returns whether the connection may end after this request, if no other one was read. */
  readonly mayEndAfter?: (request: IncomingMessage) => boolean;
  /**
   * Returns whether a client that ends its side of a connection still gets the responses to its
   * requests; by default, the connection is ended at once. It cannot be told from a client that has
   * left, other than by a reset when a response is sent to it.
   */
  readonly keepsHalfOpen?: () => boolean;
  /** Called with requests that are not handled, since their connection has ended. */
  readonly onDiscard?: (requests: readonly IncomingMessage[]) => void;
  /**
   * Renders the response to input that is not valid HTTP as a complete HTTP message; `dispatched`
   * is true when the connection has a request in flight.
   */
  readonly renderMalformed: (status: number, dispatched: boolean) => string;
  /**
   * Renders a complete response for a request that is in transit on an idle connection when the
   * server stops; the request is not handled. The response is sent on all idle connections, so the
   * clients must accept one without a request. Without it, the request is reset.
   */
  readonly renderFinal?: () => string;
}
