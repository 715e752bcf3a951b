import type { Clock } from '../clock/mod.ts';
import type { ControlStream } from './_control_stream.ts';
import type { SendQueue, QueuedMessage } from './_send_queue.ts';

/** The streams to one peer and the task that writes queued messages to the newest stream. */
export interface PeerLink {
  /** Queues a message. Returns false when the queue is full. */
  readonly enqueue: (message: QueuedMessage) => boolean;
  /** Adds a stream that the peer opened, and closes the earlier ones that it opened. */
  readonly addInbound: (stream: ControlStream) => void;
  /** Must be called when a stream of the link has ended. Starts the reconnect backoff. */
  readonly onStreamEnd: (stream: ControlStream) => void;
  /**
   * Must be called when a request timed out. Closes the newest stream when nothing was received
   * from the peer after the request was queued and for at least the receive timeout.
   */
  readonly onRequestTimeout: (requestId: number, enqueuedAtMs: number) => void;
  /** Closes idle streams. Returns true when the link is unused and can be removed. */
  readonly closeIdle: (idleTimeoutMs: number) => boolean;
  readonly close: () => void;
}

/** Options of a peer link. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly sendQueue: SendQueue;
  /** Opens a stream to the peer; `undefined` when its address is unknown or malformed. */
  readonly openStream: () => ControlStream | undefined;
  readonly onWrite: (message: QueuedMessage, stream: ControlStream) => void;
  /** Called before an unresponsive stream is closed, with the time since the last arrival. */
  readonly onUnresponsive: (silentMs: number) => void;
  readonly receiveTimeoutMs: number;
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  readonly random: () => number;
}

/** Lets messages that arrived during a pause of the event loop be processed. */
const RECHECK_DELAY_MS = 20;
/** A busy host may take this long to open a stream. */
const OPEN_TIMEOUT_MS = 1000;

export const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { clock, sendQueue, random } = options;
  const stop = new AbortController();
  let streams: readonly ControlStream[] = [];
  let backoffMs = 0;
  let reopenAtMs = -Infinity;
  let lastEnqueuedMs = clock.now();
  let receiveCheck: Promise<void> = Promise.resolve();

  const newestStream = () => streams.at(-1);

  /** Considers all streams, as the peer may reply on one that is not the newest. */
  const lastReceivedMs = () => (
    Math.max(...streams.map((stream) => stream.lastReceivedMs()))
  );

  const isUnresponsive = (stream: ControlStream, sinceMs: number) => {
    const limitMs = stream.hasReceived() ? options.receiveTimeoutMs : OPEN_TIMEOUT_MS;
    return lastReceivedMs() <= sinceMs && clock.now() - lastReceivedMs() >= limitMs;
  };

  const openStream = () => {
    const stream = options.openStream();
    if (stream?.isOpen()) streams = [...streams, stream];
    return stream;
  };

  const writeLoop = async () => {
    while (!stop.signal.aborted) {
      await sendQueue.waitForMessage(stop.signal);
      // Wait until it is known whether the newest stream is unresponsive and has to be closed.
      await receiveCheck;
      const waitMs = newestStream() ? 0 : reopenAtMs - clock.now();
      if (waitMs > 0) await clock.sleep(waitMs, stop.signal);
      if (stop.signal.aborted) return;
      const message = sendQueue.shift();
      if (message === undefined) continue;
      const stream = newestStream() ?? openStream();
      if (stream === undefined) continue;
      options.onWrite(message, stream);
      if (!stream.write(message.encoded)) await stream.drained();
    }
  };
  writeLoop();

  const closeIfUnresponsive = async (sinceMs: number) => {
    const stream = newestStream();
    if (stream === undefined || !isUnresponsive(stream, sinceMs)) return;
    // After a pause of the event loop, timers run before the messages that arrived during it.
    await clock.sleep(RECHECK_DELAY_MS);
    if (!stream.isOpen() || !isUnresponsive(stream, sinceMs)) return;
    options.onUnresponsive(clock.now() - lastReceivedMs());
    stream.close();
  };

  return {
    enqueue: (message) => {
      lastEnqueuedMs = clock.now();
      return sendQueue.push(message);
    },
    addInbound: (stream) => {
      // A peer that opens another stream has abandoned its previous one.
      for (const previous of streams) if (!previous.outbound) previous.close();
      streams = [...streams, stream];
    },
    onStreamEnd: (stream) => {
      streams = streams.filter((other) => other !== stream);
      if (!stream.outbound) return;
      backoffMs = stream.hasReceived()
        ? options.initialBackoffMs
        : Math.min(options.maxBackoffMs, Math.max(options.initialBackoffMs, backoffMs * 2));
      reopenAtMs = clock.now() + backoffMs * (0.5 + random() / 2);
    },
    onRequestTimeout: (requestId, enqueuedAtMs) => {
      sendQueue.remove(requestId);
      receiveCheck = closeIfUnresponsive(enqueuedAtMs);
    },
    closeIdle: (idleTimeoutMs) => {
      const nowMs = clock.now();
      for (const stream of streams) {
        // The side that opened a stream closes it first; the other side waits twice as long.
        const limitMs = stream.outbound ? idleTimeoutMs : 2 * idleTimeoutMs;
        if (nowMs - stream.lastUsedMs() >= limitMs) stream.close();
      }
      return streams.length === 0 && sendQueue.isEmpty()
        && nowMs - lastEnqueuedMs >= idleTimeoutMs;
    },
    close: () => {
      stop.abort();
      for (const stream of streams) stream.close();
    },
  };
};
