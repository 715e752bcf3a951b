import type { Result } from 'neverthrow';
import type { PeerError } from '../errors/mod.ts';
import type { ControlBody, ControlKind, ControlValue } from '../proto/mod.ts';

/** A node and the incarnation of its process, as sent with each control message. */
export interface NodeIdentity {
  readonly node: string;
  readonly incarnation: string;
}

/** Options of a control request. */
export interface PeerRequestOptions {
  readonly timeoutMs: number;
}

/** Handles one kind of control message. A returned message is sent as the reply. */
export type ControlHandler<K extends ControlKind> = (
  value: ControlValue<K>,
  sender: NodeIdentity,
) => ControlBody | undefined | Promise<ControlBody | undefined>;

/** Sends and receives control messages. Addresses are `host:port` of a node's control listener. */
export interface PeerTransport {
  /** Sends a message that expects no reply. Its loss is not reported. */
  readonly send: (address: string, body: ControlBody) => void;
  /**
   * Sends a message and waits for the reply. A timeout or a `failure` reply is an error that names
   * the peer.
   */
  readonly request: (
    address: string,
    body: ControlBody,
    options: PeerRequestOptions,
  ) => Promise<Result<ControlBody, PeerError>>;
  /** Registers the handler of a kind of message. Throws when the kind already has one. */
  readonly handle: <K extends ControlKind>(kind: K, handler: ControlHandler<K>) => void;
  readonly close: () => Promise<void>;
}
