import type { ResponseSink } from '../forward/mod.ts';
import type { AttemptOutcome } from './request.ts';

/** A complete error response of an instance. */
export interface ErrorResponse {
  readonly status: number;
  readonly headers: string[];
  readonly body: Buffer;
}

/** The latest error response to one request, which is delivered if no other attempt succeeds. */
export interface HeldError {
  /** Holds a response in place of an earlier one; does nothing when there is no room for it. */
  readonly hold: (response: ErrorResponse) => void;
  /** Delivers the response; returns undefined if none is held or the caller has gone. */
  readonly deliver: (sink: ResponseSink) => AttemptOutcome | undefined;
  readonly release: () => void;
}

const sizeOf = ({ headers, body }: ErrorResponse) => (
  headers.reduce((size, text) => size + text.length, body.length)
);

/**
 * Creates the store of error responses that are held while their requests are tried again.
 *
 * @param maxBytes Largest number of bytes held for all requests.
 * @returns A function that opens the place for the error of one request.
 *
 * @example
 * const held = openHeldError();
 * held.hold({ status: 500, headers, body });
 * const outcome = held.deliver(sink);
 * held.release();
 */
export const createHeldErrors = (maxBytes: number): () => HeldError => {
  let totalBytes = 0;

  return () => {
    let held: ErrorResponse | undefined;

    const release = () => {
      if (held !== undefined) totalBytes -= sizeOf(held);
      held = undefined;
    };

    return {
      hold: (response) => {
        const size = sizeOf(response);
        const heldBytes = held === undefined ? 0 : sizeOf(held);
        if (totalBytes - heldBytes + size > maxBytes) return;
        release();
        held = response;
        totalBytes += size;
      },
      deliver: (sink) => {
        if (held === undefined) return undefined;
        const { status, headers, body } = held;
        if (sink.start(status, headers) !== 'deliver') return undefined;
        if (body.length > 0) sink.write(body);
        sink.end();
        return { kind: 'answered', status };
      },
      release,
    };
  };
};
