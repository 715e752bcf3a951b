import type { ClientDuplexStream, ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../clock/mod.ts';

/** A bidirectional gRPC stream to a peer, opened by either side. */
export interface ControlStream {
  /** This node opened the stream. */
  readonly outbound: boolean;
  readonly openedAtMs: number;
  /** Time of the last received message, or of the opening when there was none. */
  readonly lastReceivedMs: () => number;
  readonly hasReceived: () => boolean;
  /** Time of the last message sent or received. */
  readonly lastUsedMs: () => number;
  readonly isOpen: () => boolean;
  /** Returns false when the write buffer is full; the writer should then await `drained`. */
  readonly write: (encoded: Buffer) => boolean;
  /** Resolves when the stream accepts more messages or has ended. */
  readonly drained: () => Promise<void>;
  readonly close: () => void;
}

/** Options of a control stream. */
export interface ControlStreamOptions {
  readonly clock: Clock;
  readonly outbound: boolean;
  readonly onMessage: (encoded: Buffer) => void;
  readonly onEnd: (reason: string) => void;
  /** Frees the resources of the stream. Called once, when the stream ends. */
  readonly release: () => void;
}

type GrpcStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>;

export const createControlStream = (
  stream: GrpcStream,
  options: ControlStreamOptions,
): ControlStream => {
  const { clock, outbound } = options;
  const openedAtMs = clock.now();
  let lastReceivedMs = openedAtMs;
  let lastUsedMs = openedAtMs;
  let hasReceived = false;
  let isOpen = true;
  let resumeWriter: () => void = () => undefined;

  const end = (reason: string) => {
    if (!isOpen) return;
    isOpen = false;
    options.release();
    resumeWriter();
    options.onEnd(reason);
  };

  stream.on('data', (encoded: Buffer) => {
    if (!isOpen) return;
    hasReceived = true;
    lastReceivedMs = clock.now();
    lastUsedMs = lastReceivedMs;
    options.onMessage(encoded);
  });
  stream.on('drain', () => resumeWriter());
  stream.on('error', (error: Error) => end(error.message));
  stream.on('cancelled', () => end('the peer cancelled the stream'));
  stream.on('close', () => end('the stream closed'));
  stream.on('end', () => {
    stream.end();
    end('the peer ended the stream');
  });

  return {
    outbound,
    openedAtMs,
    lastReceivedMs: () => lastReceivedMs,
    hasReceived: () => hasReceived,
    lastUsedMs: () => lastUsedMs,
    isOpen: () => isOpen,
    write: (encoded) => {
      lastUsedMs = clock.now();
      return stream.write(encoded);
    },
    drained: () => new Promise((resolve) => {
      if (!isOpen || !stream.writableNeedDrain) resolve();
      else resumeWriter = resolve;
    }),
    close: () => {
      if (!isOpen) return;
      if ('cancel' in stream) stream.cancel();
      else stream.end();
      end('closed by this node');
    },
  };
};
