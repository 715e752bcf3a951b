import createHasher from 'xxhash-wasm';

const hasher = await createHasher();

/**
 * Orders names by rendezvous hash. When a name joins or leaves, the order of the others stays.
 *
 * @param key What is to be placed.
 * @param names Names of the possible places.
 * @returns The names, the preferred one first.
 *
 * @example
 * const [allotmentNode] = rendezvousOrder('customer-a', ['n1', 'n2', 'n3']);
 */
export const rendezvousOrder = (key: string, names: readonly string[]): readonly string[] => {
  const scored = names.map((name) => ({ name, score: hasher.h32(`${key}\u0000${name}`) }));
  scored.sort((left, right) => (
    right.score - left.score || (left.name < right.name ? -1 : 1)
  ));
  return scored.map(({ name }) => name);
};
