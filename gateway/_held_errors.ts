import { createChunkCollector } from '../bytes/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import type { AttemptOutcome } from './request.ts';

/** Head of an error response of an instance. */
export interface ErrorHead {
  readonly status: number;
  readonly headers: string[];
}

/** An error response whose body is still being read. */
export interface ErrorReader {
  /** Adds a part of the body; returns false, and keeps nothing, once there is no room for it. */
  readonly write: (chunk: Buffer) => boolean;
  /** Holds the complete response in place of an earlier one. */
  readonly end: () => void;
}

/** The latest error response to one request, which is delivered if no other attempt succeeds. */
export interface HeldError {
  /** Resolves when a complete response is held. */
  readonly isHeld: Promise<void>;
  /** Starts to read a response. */
  readonly read: (head: ErrorHead) => ErrorReader;
  /** Delivers the response; returns undefined if none is held or the caller has gone. */
  readonly deliver: (sink: ResponseSink) => AttemptOutcome | undefined;
  /** Frees the room of all responses, also of those that are still being read. */
  readonly release: () => void;
}

/** A response in the store. */
interface StoredError {
  readonly head: ErrorHead;
  /** Returns the part of the body that has been read. */
  readonly body: () => Buffer;
  /** Frees the room of the response. */
  readonly drop: () => void;
}

const headBytes = ({ headers }: ErrorHead) => (
  headers.reduce((size, text) => size + text.length, 0)
);

/**
 * Creates the store of error responses that are held while their requests are tried again.
 *
 * @param maxBytes Largest number of bytes held for all requests.
 * @param maxErrorBytes Largest number of bytes held for one response; `maxBytes` by default.
 * @returns A function that opens the place for the error of one request.
 *
 * @example
 * const held = openHeldError();
 * const reader = held.read({ status: 500, headers });
 * if (reader.write(chunk)) reader.end();
 * const outcome = held.deliver(sink);
 * held.release();
 */
export const createHeldErrors = (
  maxBytes: number,
  maxErrorBytes: number = maxBytes,
): () => HeldError => {
  let totalBytes = 0;

  return () => {
    const stored = new Set<StoredError>();
    let held: StoredError | undefined;
    let reportHeld = () => undefined as void;
    const isHeld = new Promise<void>((resolve) => {
      reportHeld = resolve;
    });

    const read: HeldError['read'] = (head) => {
      const collector = createChunkCollector({ maxBytes: maxErrorBytes });
      let reservedBytes = 0;

      const error: StoredError = {
        head,
        body: collector.finish,
        drop: () => {
          if (!stored.delete(error)) return;
          totalBytes -= reservedBytes;
          collector.discard();
        },
      };
      const reserve = (bytes: number) => {
        if (!stored.has(error)) return false;
        if (reservedBytes + bytes > maxErrorBytes || totalBytes + bytes > maxBytes) {
          error.drop();
          return false;
        }
        reservedBytes += bytes;
        totalBytes += bytes;
        return true;
      };

      stored.add(error);
      reserve(headBytes(head));
      return {
        write: (chunk) => reserve(chunk.length) && collector.add(chunk),
        end: () => {
          if (!stored.has(error)) return;
          held?.drop();
          held = error;
          reportHeld();
        },
      };
    };

    return {
      isHeld,
      read,
      deliver: (sink) => {
        if (held === undefined) return undefined;
        const { status, headers } = held.head;
        const body = held.body();
        if (sink.start(status, headers) !== 'deliver') return undefined;
        if (body.length > 0) sink.write(body);
        sink.end();
        return { kind: 'answered', status };
      },
      release: () => {
        for (const error of [...stored]) error.drop();
        held = undefined;
      },
    };
  };
};
