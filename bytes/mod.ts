/** Bytes that arrive in chunks: what kept chunks take, and joining them as they arrive. */
export {
  type ChunkCollector, type ChunkCollectorOptions, createChunkCollector,
} from './chunk_collector.ts';
export { chunkMemoryBytes } from './chunk_memory.ts';
export { type ChunkJoiner, createChunkJoiner } from './chunk_joiner.ts';
export { readStreamText } from './read_stream_text.ts';
