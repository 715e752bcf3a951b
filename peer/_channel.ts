import type { ClientDuplexStream, ServerDuplexStream } from '@grpc/grpc-js';
import type { Clock } from '../clock/mod.ts';

/** One open stream to a peer, whichever side opened it. */
export interface Channel {
  readonly outbound: boolean;
  readonly openedAtMs: number;
  /** Time of the last arrival, or of the opening when nothing has arrived. */
  readonly lastReceivedMs: () => number;
  readonly hasReceived: () => boolean;
  /** Time of the last message in either direction. */
  readonly lastUsedMs: () => number;
  readonly isOpen: () => boolean;
  /** Returns false when the writer should wait for `drained`. */
  readonly write: (encoded: Buffer) => boolean;
  /** Resolves when the stream takes more messages or has ended. */
  readonly drained: () => Promise<void>;
  readonly close: () => void;
}

/** What a channel needs. */
export interface ChannelOptions {
  readonly clock: Clock;
  readonly outbound: boolean;
  readonly onMessage: (encoded: Buffer) => void;
  readonly onEnd: (reason: string) => void;
  /** Frees what belongs to the stream. */
  readonly release: () => void;
}

type ControlStream = ClientDuplexStream<Buffer, Buffer> | ServerDuplexStream<Buffer, Buffer>;

export const createChannel = (stream: ControlStream, options: ChannelOptions): Channel => {
  const { clock, outbound } = options;
  const openedAtMs = clock.now();
  let lastReceivedMs = openedAtMs;
  let lastUsedMs = openedAtMs;
  let received = false;
  let open = true;
  let resumeWriter: () => void = () => undefined;

  const end = (reason: string) => {
    if (!open) return;
    open = false;
    options.release();
    resumeWriter();
    options.onEnd(reason);
  };

  stream.on('data', (encoded: Buffer) => {
    if (!open) return;
    received = true;
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
    hasReceived: () => received,
    lastUsedMs: () => lastUsedMs,
    isOpen: () => open,
    write: (encoded) => {
      lastUsedMs = clock.now();
      return stream.write(encoded);
    },
    drained: () => new Promise((resolve) => {
      if (!open || !stream.writableNeedDrain) resolve();
      else resumeWriter = resolve;
    }),
    close: () => {
      if (!open) return;
      if ('cancel' in stream) stream.cancel();
      else stream.end();
      end('closed by this node');
    },
  };
};
