import createXxhash from 'xxhash-wasm';

/**
 * Maps a key to its slot.
 *
 * @param key The key, as extracted by the route.
 * @param slotCount Number of slots of the service, a power of two.
 * @returns Slot number from 0 to `slotCount - 1`.
 */
export type SlotOfKey = (key: string, slotCount: number) => number;

/**
 * Loads xxHash64 and creates the function that maps a key to its slot. Call it once at startup.
 *
 * @returns The function, which maps a key to the same slot on every node.
 *
 * @example
 * const slotOfKey = await createSlotOfKey();
 * const slot = slotOfKey('gate-17', 32_768);
 */
export const createSlotOfKey = async (): Promise<SlotOfKey> => {
  const { h64 } = await createXxhash();
  return (key, slotCount) => Number(BigInt.asUintN(Math.log2(slotCount), h64(key)));
};
