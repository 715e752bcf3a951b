import type { Result } from 'neverthrow';
import type { PeerError } from '../errors/mod.ts';
import type { ControlBody, ControlKind, ControlValue } from '../proto/mod.ts';

/** The node that sent a control message. */
export interface Sender {
  readonly node: string;
  readonly incarnation: string;
}

/** Options of a control request. */
export interface PeerRequestOptions {
  readonly timeoutMs: number;
}

/** Handles one kind of control message; a returned message is sent back as the answer. */
export type ControlHandler<K extends ControlKind> = (
  value: ControlValue<K>,
  sender: Sender,
) => ControlBody | undefined | Promise<ControlBody | undefined>;

/** Sends and receives control messages. Addresses are `host:port` of a node's control listener. */
export interface PeerTransport {
  /** Sends a message that expects no answer. It may be lost without notice. */
  readonly send: (address: string, body: ControlBody) => void;
  /**
   * Sends a message and waits for its answer. A `failure` answer and a time-out are errors that
   * name the peer.
   */
  readonly request: (
    address: string,
    body: ControlBody,
    options: PeerRequestOptions,
  ) => Promise<Result<ControlBody, PeerError>>;
  /** Registers the only handler of a kind; registering a kind twice throws. */
  readonly handle: <K extends ControlKind>(kind: K, handler: ControlHandler<K>) => void;
  readonly close: () => Promise<void>;
}
