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

export const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { clock, outbox, random } = options;
  const stop = new AbortController();
  let channels: readonly Channel[] = [];
  let backoffMs = 0;
  let reopenAtMs = -Infinity;
  let lastPostedMs = clock.now();

  const newest = () => channels.at(-1);

  const openChannel = () => {
    const channel = options.open();
    if (channel?.isOpen()) channels = [...channels, channel];
    return channel;
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await outbox.waitForMessage(stop.signal);
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
      const channel = newest();
      if (channel === undefined) return;
      // The peer may answer on another stream than the newest.
      const lastReceivedMs = Math.max(...channels.map((other) => other.lastReceivedMs()));
      if (lastReceivedMs > postedAtMs) return;
      const silentMs = clock.now() - lastReceivedMs;
      if (silentMs < options.silenceMs) return;
      options.onSilent(silentMs);
      channel.close();
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
