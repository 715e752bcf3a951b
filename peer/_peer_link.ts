import type { Clock } from '../clock/mod.ts';
import type { Channel } from './_channel.ts';
import type { Outbox, Outgoing } from './_outbox.ts';

/** The streams to one peer and the task that writes to the newest of them. */
export interface PeerLink {
  /** Queues a message; false when the queue is full. */
  readonly post: (message: Outgoing) => boolean;
  /** Takes a stream that the peer opened. */
  readonly adopt: (channel: Channel) => void;
  /** Called when a stream of the link has ended. */
  readonly ended: (channel: Channel) => void;
  /**
   * Called when a request was not answered in time. Closes the newest stream when nothing has
   * arrived from the peer since the request was posted.
   */
  readonly expired: (requestId: number, postedAtMs: number) => void;
  /** Closes streams without traffic; returns true when the link can be forgotten. */
  readonly sweep: (idleMs: number) => boolean;
  readonly close: () => void;
}

/** What a link needs. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly outbox: Outbox;
  /** Opens a stream to the peer; `undefined` when its address is unknown or malformed. */
  readonly open: () => Channel | undefined;
  readonly onWrite: (message: Outgoing, channel: Channel) => void;
  readonly onSilent: (silentMs: number) => void;
  readonly silenceMs: number;
  readonly initialBackoffMs: number;
  readonly maxBackoffMs: number;
  readonly random: () => number;
}

const RECHECK_MS = 20;
// A busy host may take this long to open a stream.
const MIN_OPENING_MS = 1000;

export const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { clock, outbox, random } = options;
  const stop = new AbortController();
  let channels: readonly Channel[] = [];
  let backoffMs = 0;
  let reopenAtMs = -Infinity;
  let lastPostedMs = clock.now();
  let verdict: Promise<void> = Promise.resolve();

  const newest = () => channels.at(-1);

  /** The peer may answer on another stream than the newest. */
  const lastReceivedMs = () => (
    Math.max(...channels.map((channel) => channel.lastReceivedMs()))
  );

  const isSilent = (channel: Channel, sinceMs: number) => {
    const limitMs = channel.hasReceived() ? options.silenceMs : MIN_OPENING_MS;
    return lastReceivedMs() <= sinceMs && clock.now() - lastReceivedMs() >= limitMs;
  };

  const openChannel = () => {
    const channel = options.open();
    if (channel?.isOpen()) channels = [...channels, channel];
    return channel;
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await outbox.waitForMessage(stop.signal);
      // Nothing is written to a stream that may be silent.
      await verdict;
      const waitMs = newest() ? 0 : reopenAtMs - clock.now();
      if (waitMs > 0) await clock.sleep(waitMs, stop.signal);
      if (stop.signal.aborted) return;
      const message = outbox.shift();
      if (message === undefined) continue;
      const channel = newest() ?? openChannel();
      if (channel === undefined) continue;
      options.onWrite(message, channel);
      if (!channel.write(message.encoded)) await channel.drained();
    }
  };
  run();

  const closeIfSilent = async (sinceMs: number) => {
    const channel = newest();
    if (channel === undefined || !isSilent(channel, sinceMs)) return;
    // After a pause of the event loop, timers run before the messages that arrived meanwhile.
    await clock.sleep(RECHECK_MS);
    if (!channel.isOpen() || !isSilent(channel, sinceMs)) return;
    options.onSilent(clock.now() - lastReceivedMs());
    channel.close();
  };

  return {
    post: (message) => {
      lastPostedMs = clock.now();
      return outbox.push(message);
    },
    adopt: (channel) => {
      // A peer that opens another stream has given up the former one.
      for (const former of channels) if (!former.outbound) former.close();
      channels = [...channels, channel];
    },
    ended: (channel) => {
      channels = channels.filter((other) => other !== channel);
      if (!channel.outbound) return;
      backoffMs = channel.hasReceived()
        ? options.initialBackoffMs
        : Math.min(options.maxBackoffMs, Math.max(options.initialBackoffMs, backoffMs * 2));
      reopenAtMs = clock.now() + backoffMs * (0.5 + random() / 2);
    },
    expired: (requestId, postedAtMs) => {
      outbox.remove(requestId);
      verdict = closeIfSilent(postedAtMs);
    },
    sweep: (idleMs) => {
      const nowMs = clock.now();
      for (const channel of channels) {
        // The side that opened the stream closes it first.
        const limitMs = channel.outbound ? idleMs : 2 * idleMs;
        if (nowMs - channel.lastUsedMs() >= limitMs) channel.close();
      }
      return channels.length === 0 && outbox.isEmpty() && nowMs - lastPostedMs >= idleMs;
    },
    close: () => {
      stop.abort();
      for (const channel of channels) channel.close();
    },
  };
};
