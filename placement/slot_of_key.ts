import createXxhash from 'xxhash-wasm';

/**
 * Returns the slot of a key.
 *
 * @param key The key as the route extracted it.
 * @param slotCount Number of slots of the service, a power of two.
 */
export type SlotOfKey = (key: string, slotCount: number) => number;

/**
 * Loads xxHash64 and creates the function that maps a key to its slot. Load it once at start.
 *
 * @returns The function; the same key gives the same slot on every node.
 *
 * @example
 * const slotOfKey = await createSlotOfKey();
 * const slot = slotOfKey('gate-17', 32_768);
 */
export const createSlotOfKey = async (): Promise<SlotOfKey> => {
  const { h64 } = await createXxhash();
  return (key, slotCount) => Number(BigInt.asUintN(Math.log2(slotCount), h64(key)));
};
