import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { PeerTlsFiles } from './load_tls_material.ts';
import type { PeerTransport, Sender } from './peer_transport.ts';

/** Options of the gRPC transport. */
export interface GrpcTransportOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Sender;
  /** `host:port` to listen on; port 0 takes a free port. */
  readonly listenAddress: string;
  /** Address that peers use; by default the address that was bound. */
  readonly advertisedAddress?: string;
  /** Fleet credential. */
  readonly credential: string;
  /** Mutual TLS; plain text when absent. */
  readonly tls?: PeerTlsFiles;
  /** Largest encoded message. */
  readonly maxMessageBytes?: number;
  /** Bounds of the queue of messages to one peer. */
  readonly maxQueuedMessages?: number;
  readonly maxQueuedBytes?: number;
  /** A stream on which requests time out and nothing arrives for so long is closed, in ms. */
  readonly silenceMs?: number;
  /** A stream without messages for so long is closed by the side that opened it, in ms. */
  readonly idleMs?: number;
  readonly initialBackoffMs?: number;
  readonly maxBackoffMs?: number;
  /** Random numbers in [0, 1). */
  readonly random?: () => number;
}

/** Traffic so far; bytes are those of the encoded messages, without gRPC and TCP framing. */
export interface GrpcTransportCounters {
  readonly messagesSent: number;
  readonly messagesReceived: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Messages not sent because the queue was full or the message too large. */
  readonly dropped: number;
  readonly malformed: number;
  readonly streamsOpened: number;
  readonly silentStreams: number;
}

/** Control messages over gRPC streams. */
export interface GrpcTransport extends PeerTransport {
  /** `host:port` that peers use. */
  readonly address: string;
  readonly counters: () => GrpcTransportCounters;
}
