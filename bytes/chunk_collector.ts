/** Joins the chunks of a body as they arrive, so that only their bytes are kept. */
export interface ChunkCollector {
  /** Copies a chunk; returns false if there is no room, after which the collector is not used. */
  readonly add: (chunk: Uint8Array) => boolean;
  /** Returns the body without copying it. */
  readonly finish: () => Buffer;
  /** Frees the memory of a body that was not finished. */
  readonly discard: () => void;
}

/** Options of {@link createChunkCollector}. */
export interface ChunkCollectorOptions {
  /** Largest body in bytes. */
  readonly maxBytes: number;
  /** Memory in bytes that is reserved already and allocated at once, for a declared length. */
  readonly initialBytes?: number;
  /** Reserves memory in bytes; returns false if there is none. */
  readonly reserve?: (bytes: number) => boolean;
}

/** Allocated for the first chunk; most bodies without a declared length are not longer. */
const FIRST_CAPACITY_BYTES = 4096;
/**
 * Largest capacity that is doubled. A longer body gets the largest capacity at once: the system
 * backs it with memory only as it is filled, while another copy would need as much as the body.
 */
const MAX_DOUBLED_BYTES = 1_048_576;

/** The part of ES2024 that Node.js 20 has and the library of the compiler lacks. */
interface ResizableArrayBuffer extends ArrayBuffer {
  readonly resize: (bytes: number) => void;
}
const ResizableBuffer = ArrayBuffer as unknown as new (
  bytes: number,
  options: { readonly maxByteLength: number },
) => ResizableArrayBuffer;

/** Memory of a body, which can be freed before the garbage collector finds it if it is large. */
interface Allocation {
  readonly buffer: Buffer;
  readonly free: () => void;
}

const allocate = (bytes: number): Allocation | undefined => {
  try {
    if (bytes <= MAX_DOUBLED_BYTES) {
      return { buffer: Buffer.allocUnsafeSlow(bytes), free: () => undefined };
    }
    const memory = new ResizableBuffer(bytes, { maxByteLength: bytes });
    return { buffer: Buffer.from(memory, 0, bytes), free: () => memory.resize(0) };
  } catch {
    // The system has no room for it, which the caller reports as a body that does not fit.
    return undefined;
  }
};

/**
 * Creates an empty collector. A chunk that is kept as an object of its own takes over a hundred
 * bytes, however small it is, and may keep the whole block of memory that it was read into.
 *
 * @param options Limits and memory.
 * @returns The collector.
 *
 * @example
 * const collector = createChunkCollector({ maxBytes: 65_536 });
 * message.on('data', (chunk) => collector.add(chunk) || refuse());
 */
export const createChunkCollector = (options: ChunkCollectorOptions): ChunkCollector => {
  const { maxBytes, initialBytes = 0, reserve = () => true } = options;
  let body: Allocation | undefined = allocate(initialBytes);
  let filledBytes = 0;
  let reservedBytes = initialBytes;

  const reserveUpTo = (bytes: number) => {
    if (bytes <= reservedBytes) return true;
    if (!reserve(bytes - reservedBytes)) return false;
    reservedBytes = bytes;
    return true;
  };

  /** Replaces the buffer by one that holds `neededBytes`, if there is memory for it. */
  const grow = ({ buffer }: Allocation, neededBytes: number): Allocation | undefined => {
    const doubled = Math.max(FIRST_CAPACITY_BYTES, 2 * buffer.length, neededBytes);
    const isLarge = doubled > MAX_DOUBLED_BYTES;
    const preferred = Math.min(isLarge ? maxBytes : doubled, maxBytes);
    const hasRoom = (!isLarge && reserveUpTo(preferred)) || reserveUpTo(neededBytes);
    if (!hasRoom) return undefined;
    // With little room left, the memory that is needed is reserved, and no more is filled.
    const grown = allocate(preferred);
    if (grown !== undefined) buffer.copy(grown.buffer, 0, 0, filledBytes);
    return grown;
  };

  return {
    add: (chunk) => {
      const neededBytes = filledBytes + chunk.length;
      if (body === undefined || neededBytes > maxBytes) return false;
      if (neededBytes > body.buffer.length) {
        const grown = grow(body, neededBytes);
        if (grown === undefined) return false;
        body = grown;
      } else if (!reserveUpTo(neededBytes)) return false;
      body.buffer.set(chunk, filledBytes);
      filledBytes = neededBytes;
      return true;
    },
    finish: () => body?.buffer.subarray(0, filledBytes) ?? Buffer.alloc(0),
    discard: () => {
      body?.free();
      body = undefined;
    },
  };
};
