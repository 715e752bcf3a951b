import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { PeerTlsFiles } from './load_tls_material.ts';
import type { PeerTransport, NodeIdentity } from './peer_transport.ts';

/** Options of the gRPC transport. */
export interface GrpcTransportOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: NodeIdentity;
  /** `host:port` to listen on; port 0 selects a free port. */
  readonly listenAddress: string;
  /** Address under which peers reach this node; by default the bound address. */
  readonly advertisedAddress?: string;
  /** Credential that all nodes of the fleet share. */
  readonly credential: string;
  /** Files for mutual TLS; connections are in plain text when absent. */
  readonly tls?: PeerTlsFiles;
  /** Maximum size of an encoded message. */
  readonly maxMessageBytes?: number;
  /** Maximum number of queued messages to one peer. */
  readonly maxQueuedMessages?: number;
  /** Maximum total size of the queued messages to one peer. */
  readonly maxQueuedBytes?: number;
  /** A stream is closed when a request timed out and nothing was received for this long, in ms. */
  readonly receiveTimeoutMs?: number;
  /** The opening side closes a stream without messages after this time, in ms. */
  readonly idleTimeoutMs?: number;
  readonly initialBackoffMs?: number;
  readonly maxBackoffMs?: number;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

/**
 * Traffic since the start. Bytes are those of the encoded messages, without gRPC and TCP framing.
 */
export interface GrpcTransportCounters {
  readonly messagesSent: number;
  readonly messagesReceived: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Messages that were not sent: queue full, message too large or transport closed. */
  readonly dropped: number;
  /** Received messages that could not be decoded. */
  readonly malformed: number;
  readonly streamsOpened: number;
  /** Streams that were closed because the peer was unresponsive. */
  readonly unresponsiveStreams: number;
}

/** Transport of control messages over gRPC streams. */
export interface GrpcTransport extends PeerTransport {
  /** `host:port` under which peers reach this node. */
  readonly address: string;
  readonly counters: () => GrpcTransportCounters;
}
