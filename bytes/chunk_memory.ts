/**
 * Memory that a kept chunk takes beside its bytes: the buffer object, its entry in a queue and the
 * callback of its write. It is an upper bound; a bare buffer object takes about 100 bytes.
 */
const CHUNK_OVERHEAD_BYTES = 512;

/**
 * Returns the memory that chunks take while each is kept as an object of its own. A limit that
 * counts only their bytes allows many times as much memory if the chunks are small.
 *
 * @param bytes Bytes of all chunks.
 * @param chunks Number of chunks.
 * @returns The memory in bytes.
 *
 * @example
 * const memory = chunkMemoryBytes(response.writableLength, pendingWrites);
 */
export const chunkMemoryBytes = (bytes: number, chunks: number): number => (
  bytes + chunks * CHUNK_OVERHEAD_BYTES
);
