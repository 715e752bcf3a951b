/** One encoded message that waits for a stream. */
export interface Outgoing {
  readonly encoded: Buffer;
  /** Identifier of the request; 0 for a message that expects no answer. */
  readonly requestId: number;
}

/** Bounded queue of the messages to one peer. */
export interface Outbox {
  /** Returns false when the queue is full. */
  readonly push: (message: Outgoing) => boolean;
  readonly shift: () => Outgoing | undefined;
  /** Removes a request that is not worth sending any more. */
  readonly remove: (requestId: number) => void;
  readonly isEmpty: () => boolean;
  /** Resolves when a message waits or the signal aborts. */
  readonly waitForMessage: (signal: AbortSignal) => Promise<void>;
}

/** Bounds of an outbox. */
export interface OutboxLimits {
  readonly maxMessages: number;
  readonly maxBytes: number;
}

export const createOutbox = ({ maxMessages, maxBytes }: OutboxLimits): Outbox => {
  let messages: Outgoing[] = [];
  let bytes = 0;
  let wake: () => void = () => undefined;

  return {
    push: (message) => {
      // One message always fits, so that a large record is not refused by an empty queue.
      const fits = messages.length < maxMessages && bytes + message.encoded.length <= maxBytes;
      if (!fits && messages.length > 0) return false;
      messages.push(message);
      bytes += message.encoded.length;
      wake();
      return true;
    },
    shift: () => {
      const message = messages.shift();
      bytes -= message?.encoded.length ?? 0;
      return message;
    },
    remove: (requestId) => {
      messages = messages.filter((message) => message.requestId !== requestId);
      bytes = messages.reduce((sum, message) => sum + message.encoded.length, 0);
    },
    isEmpty: () => messages.length === 0,
    waitForMessage: (signal) => new Promise((resolve) => {
      if (messages.length > 0 || signal.aborted) {
        resolve();
        return;
      }
      wake = () => {
        signal.removeEventListener('abort', wake);
        wake = () => undefined;
        resolve();
      };
      signal.addEventListener('abort', wake, { once: true });
    }),
  };
};
