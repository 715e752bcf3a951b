/* eslint-disable no-bitwise -- The hash is defined by operations on 32-bit integers. */
/** Constants of the xxHash specification. */
const PRIME_1 = 0x9E3779B1;
const PRIME_2 = 0x85EBCA77;
const PRIME_3 = 0xC2B2AE3D;
const PRIME_4 = 0x27D4EB2F;
const PRIME_5 = 0x165667B1;
const STRIPE_BYTES = 16;
const LANE_BYTES = 4;

const rotateLeft = (value: number, bits: number) => (value << bits) | (value >>> (32 - bits));

const mixLane = (accumulator: number, lane: number) => (
  Math.imul(rotateLeft((accumulator + Math.imul(lane, PRIME_2)) | 0, 13), PRIME_1)
);

const avalanche = (hash: number) => {
  const first = Math.imul(hash ^ (hash >>> 15), PRIME_2);
  const second = Math.imul(first ^ (first >>> 13), PRIME_3);
  return (second ^ (second >>> 16)) >>> 0;
};

/**
 * Computes the 32-bit xxHash of a text in UTF-8 with the seed 0. `xxhash-wasm` is instantiated
 * asynchronously, which a bundle that is loaded from a code cache cannot wait for.
 *
 * @example
 * xxh32('abc') // 0x32d153ff
 */
export const xxh32 = (text: string): number => {
  const bytes = Buffer.from(text, 'utf8');
  const { length } = bytes;
  let offset = 0;
  let hash = PRIME_5;
  if (length >= STRIPE_BYTES) {
    let first = (PRIME_1 + PRIME_2) | 0;
    let second = PRIME_2 | 0;
    let third = 0;
    let fourth = -PRIME_1 | 0;
    for (; offset + STRIPE_BYTES <= length; offset += STRIPE_BYTES) {
      first = mixLane(first, bytes.readInt32LE(offset));
      second = mixLane(second, bytes.readInt32LE(offset + 4));
      third = mixLane(third, bytes.readInt32LE(offset + 8));
      fourth = mixLane(fourth, bytes.readInt32LE(offset + 12));
    }
    hash = rotateLeft(first, 1) + rotateLeft(second, 7)
      + rotateLeft(third, 12) + rotateLeft(fourth, 18);
  }
  hash = (hash + length) | 0;
  for (; offset + LANE_BYTES <= length; offset += LANE_BYTES) {
    const mixed = (hash + Math.imul(bytes.readInt32LE(offset), PRIME_3)) | 0;
    hash = Math.imul(rotateLeft(mixed, 17), PRIME_4);
  }
  for (; offset < length; offset += 1) {
    const mixed = (hash + Math.imul(bytes[offset]!, PRIME_5)) | 0;
    hash = Math.imul(rotateLeft(mixed, 11), PRIME_1);
  }
  return avalanche(hash);
};
