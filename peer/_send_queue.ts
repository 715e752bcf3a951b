/** An encoded message that waits to be written to a stream. */
export interface QueuedMessage {
  readonly encoded: Buffer;
  /** Identifier of the request; 0 for a message that expects no reply. */
  readonly requestId: number;
}

/** Bounded queue of messages to one peer. */
export interface SendQueue {
  /** Returns false when the queue is full. */
  readonly push: (message: QueuedMessage) => boolean;
  readonly shift: () => QueuedMessage | undefined;
  /** Removes a request that has timed out, so that it is not sent. */
  readonly remove: (requestId: number) => void;
  readonly isEmpty: () => boolean;
  /** Resolves when the queue is not empty or the signal aborts. */
  readonly waitForMessage: (signal: AbortSignal) => Promise<void>;
}

/** Capacity of a send queue. */
export interface SendQueueLimits {
  readonly maxMessages: number;
  readonly maxBytes: number;
}

export const createSendQueue = ({ maxMessages, maxBytes }: SendQueueLimits): SendQueue => {
  let messages: QueuedMessage[] = [];
  let bytes = 0;
  let wake: () => void = () => undefined;

  return {
    push: (message) => {
      // An empty queue accepts a message of any size; a large record could never be sent otherwise.
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
