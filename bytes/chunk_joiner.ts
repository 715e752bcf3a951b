/** Joins small chunks that arrive together into larger ones. */
export interface ChunkJoiner {
  readonly add: (chunk: Uint8Array) => void;
  /** Passes on what is kept. */
  readonly flush: () => void;
}

/** Chunks of this size and above are passed on as they are, since they take little beside it. */
const LARGE_CHUNK_BYTES = 4096;
/** Largest chunk that is joined; a socket is read in parts of 64 KiB. */
const JOINED_BYTES = 65_536;

/**
 * Creates a joiner for a body that is streamed. Chunks that the parser finds in one read of the
 * socket are passed on together at its end, so joining delays none of them.
 *
 * @param pass Receives the joined chunks in order.
 * @param schedule Calls a function once the chunks that arrive together have been added.
 * @returns The joiner.
 *
 * @example
 * const joiner = createChunkJoiner((chunk) => stream.push(chunk));
 * message.on('data', joiner.add).once('end', joiner.flush);
 */
export const createChunkJoiner = (
  pass: (chunk: Buffer) => void,
  schedule: (task: () => void) => void = queueMicrotask,
): ChunkJoiner => {
  let block: Buffer | undefined;
  let filledBytes = 0;
  let isScheduled = false;

  const flush = () => {
    if (block === undefined || filledBytes === 0) return;
    // A copy of the right size, as the block would keep its memory for a few bytes.
    const joined = Buffer.from(block.subarray(0, filledBytes));
    filledBytes = 0;
    block = undefined;
    pass(joined);
  };
  const flushLater = () => {
    isScheduled = false;
    flush();
  };

  return {
    add: (chunk) => {
      if (chunk.length >= LARGE_CHUNK_BYTES) {
        flush();
        pass(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength));
        return;
      }
      if (filledBytes + chunk.length > JOINED_BYTES) flush();
      block ??= Buffer.allocUnsafeSlow(JOINED_BYTES);
      block.set(chunk, filledBytes);
      filledBytes += chunk.length;
      if (isScheduled) return;
      isScheduled = true;
      schedule(flushLater);
    },
    flush,
  };
};
