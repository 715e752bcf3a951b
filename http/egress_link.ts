import type { CancelTask, Clock } from '../clock/mod.ts';

/** Sends one chunk of a body; returns false when the receiver is slower than the link. */
export type SendChunk = (chunk: Buffer) => boolean;

/** The body of a bulk response that is sent with the bandwidth that short responses leave. */
export interface BulkBody {
  readonly write: (chunk: Buffer) => void;
  /** Ends the body once all of its chunks have been sent. */
  readonly end: () => void;
  /** Drops the chunks that have not been sent. */
  readonly discard: () => void;
  /** Continues after the receiver has caught up. */
  readonly resume: () => void;
  /** Returns whether more chunks of this body may be buffered. */
  readonly hasRoom: () => boolean;
  /** Returns the memory in bytes of the chunks that wait here. */
  readonly waitingBytes: () => number;
}

/** Destination of a bulk body. */
export interface BulkDestination {
  readonly send: SendChunk;
  readonly finish: () => void;
  /** Called when more chunks may be buffered. */
  readonly onRoom: () => void;
}

/**
 * Shares the link of this host between its responses. Short responses are sent at once and counted;
 * bulk bodies get the bandwidth that is left, one after the other.
 */
export interface EgressLink {
  /** Counts bytes that are sent without waiting. */
  readonly count: (bytes: number) => void;
  readonly openBulk: (destination: BulkDestination) => BulkBody;
  /** Returns whether more bytes of bulk bodies may be buffered. */
  readonly hasRoom: () => boolean;
  /** Expects one more bulk body of mean size; returns a function that ends the expectation. */
  readonly expectBulk: () => () => void;
  /** Time in ms until a further bulk body of mean size would have been sent. */
  readonly bulkDelayMs: () => number;
  /** Bytes of bulk bodies that wait here. */
  readonly backlogBytes: () => number;
}

/** Options of {@link createEgressLink}. */
export interface EgressLinkOptions {
  readonly clock: Clock;
  readonly megabitsPerSecond: number;
  /** Largest number of bytes of bulk bodies that are buffered. */
  readonly maxBufferedBytes: number;
}

interface OpenBody {
  readonly destination: BulkDestination;
  readonly chunks: Buffer[];
  bytes: number;
  /** Memory in bytes of the waiting chunks. */
  waitingBytes: number;
  hasEnded: boolean;
  isBlocked: boolean;
  isWaitingForRoom: boolean;
}

/** Leaves room for packet headers and for traffic that is not counted here. */
const USABLE_FRACTION = 0.9;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT_MS = 1000;
/** Bytes of a bulk body that are sent at once; a short response may find twice as many ahead. */
const MIN_BURST_BYTES = 16_384;
/** Timers fire a few ms late; a fast link must not idle meanwhile. */
const BURST_MS = 5;
/** Memory of a waiting chunk at least, which takes far more than a few bytes of body. */
const MIN_CHUNK_MEMORY_BYTES = 2048;
/** Weight of the latest body in the mean size of bulk bodies. */
const SIZE_SAMPLE_WEIGHT = 0.1;

const memoryOf = ({ length }: Buffer) => Math.max(length, MIN_CHUNK_MEMORY_BYTES);

/**
 * Creates an idle link. Without pacing, the responses of a few downloads fill the queue of a slow
 * link for hundreds of ms, and every short response of the host waits behind them. Bulk bodies are
 * sent in the order of their requests, so that the mean time until one is complete is short.
 *
 * @param options Clock, bandwidth and buffer limit.
 * @returns The link.
 *
 * @example
 * const link = createEgressLink({ clock, megabitsPerSecond: 100, maxBufferedBytes: 2_097_152 });
 */
export const createEgressLink = (options: EgressLinkOptions): EgressLink => {
  const { clock } = options;
  const bytesPerMs = Math.max(
    1,
    (options.megabitsPerSecond * BITS_PER_MEGABIT_MS * USABLE_FRACTION) / BITS_PER_BYTE,
  );
  const burstBytes = Math.max(MIN_BURST_BYTES, Math.ceil(bytesPerMs * BURST_MS));
  const bodies = new Set<OpenBody>();
  /** Bytes that may be sent now; negative while the link is busy. */
  let credit = burstBytes;
  let creditAt = clock.now();
  let backlogBytes = 0;
  /** Memory in bytes of the chunks of all bodies. */
  let waitingBytes = 0;
  let expectedBodies = 0;
  let meanBodyBytes = 0;
  let cancelTimer: CancelTask | undefined;

  const refill = () => {
    const now = clock.now();
    credit = Math.min(burstBytes, credit + (now - creditAt) * bytesPerMs);
    creditAt = now;
  };

  const hasRoom = () => waitingBytes < options.maxBufferedBytes;

  /** A body of which nothing waits has room, so that slow receivers of others do not stop it. */
  const hasRoomFor = (body: OpenBody) => body.waitingBytes === 0 || hasRoom();

  const addWaiting = (body: OpenBody, bytes: number) => {
    waitingBytes += bytes;
    Object.assign(body, { waitingBytes: body.waitingBytes + bytes });
  };

  const takeChunk = (body: OpenBody) => {
    const chunk = body.chunks.shift();
    if (chunk === undefined) return undefined;
    addWaiting(body, -memoryOf(chunk));
    backlogBytes -= chunk.length;
    credit -= chunk.length;
    return chunk;
  };

  /** Sends what the credit allows of one body; returns false when the credit is used up. */
  const sendBody = (body: OpenBody) => {
    while (!body.isBlocked && body.chunks.length > 0) {
      if (credit <= 0) return false;
      const chunk = takeChunk(body)!;
      if (!body.destination.send(chunk)) Object.assign(body, { isBlocked: true });
    }
    if (body.chunks.length === 0 && body.hasEnded) {
      bodies.delete(body);
      body.destination.finish();
    }
    return true;
  };

  const notifyRoom = () => {
    for (const body of bodies) {
      if (!body.isWaitingForRoom || !hasRoomFor(body)) continue;
      Object.assign(body, { isWaitingForRoom: false });
      body.destination.onRoom();
    }
  };

  const sendBodies = () => {
    cancelTimer?.();
    cancelTimer = undefined;
    refill();
    for (const body of bodies) {
      if (sendBody(body)) continue;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      cancelTimer = clock.schedule(Math.max(1, Math.ceil((1 - credit) / bytesPerMs)), pump);
      break;
    }
  };

  function pump() {
    sendBodies();
    notifyRoom();
  }

  /** For calls from within the parser of a response, in which undici cannot resume another one. */
  const pumpInParser = () => {
    sendBodies();
    queueMicrotask(notifyRoom);
  };

  const recordSize = (bytes: number) => {
    meanBodyBytes += (bytes - meanBodyBytes) * (meanBodyBytes === 0 ? 1 : SIZE_SAMPLE_WEIGHT);
  };

  const openBulk: EgressLink['openBulk'] = (destination) => {
    const body: OpenBody = {
      destination,
      chunks: [],
      bytes: 0,
      waitingBytes: 0,
      hasEnded: false,
      isBlocked: false,
      isWaitingForRoom: false,
    };
    bodies.add(body);
    return {
      write: (chunk) => {
        for (let from = 0; from < chunk.length; from += burstBytes) {
          const part = chunk.subarray(from, from + burstBytes);
          body.chunks.push(part);
          addWaiting(body, memoryOf(part));
        }
        body.bytes += chunk.length;
        backlogBytes += chunk.length;
        if (cancelTimer === undefined) pumpInParser();
        body.isWaitingForRoom = !hasRoomFor(body);
      },
      end: () => {
        body.hasEnded = true;
        recordSize(body.bytes);
        if (cancelTimer === undefined || body.chunks.length === 0) pumpInParser();
      },
      discard: () => {
        if (!bodies.delete(body)) return;
        for (const { length } of body.chunks) backlogBytes -= length;
        addWaiting(body, -body.waitingBytes);
        body.chunks.length = 0;
        notifyRoom();
      },
      hasRoom: () => hasRoomFor(body),
      waitingBytes: () => body.waitingBytes,
      resume: () => {
        body.isBlocked = false;
        if (cancelTimer === undefined) pump();
      },
    };
  };

  return {
    count: (bytes) => {
      refill();
      credit -= bytes;
    },
    openBulk,
    hasRoom,
    expectBulk: () => {
      expectedBodies += 1;
      let isExpected = true;
      return () => {
        if (isExpected) expectedBodies -= 1;
        isExpected = false;
      };
    },
    bulkDelayMs: () => {
      let aheadBytes = (expectedBodies + 1) * meanBodyBytes;
      for (const { isBlocked, waitingBytes: bytes } of bodies) if (!isBlocked) aheadBytes += bytes;
      return aheadBytes / bytesPerMs;
    },
    backlogBytes: () => backlogBytes,
  };
};
