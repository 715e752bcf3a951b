import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/**
 * Ranks members for a key by rendezvous hash. A member that joins or leaves changes the rank of no
 * other pair of members.
 *
 * @param key What is to be placed, for example a customer.
 * @param members Identifiers of the members; the order does not matter.
 * @returns The members, the best first.
 *
 * @example
 * const [first] = rendezvousRank('acme', ['n1', 'n2', 'n3']);
 */
export const rendezvousRank = (key: string, members: readonly string[]): readonly string[] => (
  members
    .map((member) => ({ member, score: h32(`${key}\n${member}`) }))
    .sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
);

/**
 * Sorts items by the rendezvous rank of their identifiers.
 *
 * @param key What is to be placed.
 * @param items The items.
 * @param idOf Returns the identifier of an item; items with the same identifier count once.
 * @returns The items, the best first.
 *
 * @example
 * const [actor] = sortByRendezvous('ledger', owners, ({ id }) => id);
 */
export const sortByRendezvous = <T>(
  key: string,
  items: readonly T[],
  idOf: (item: T) => string,
): readonly T[] => {
  const byId = new Map(items.map((item) => [idOf(item), item]));
  return rendezvousRank(key, [...byId.keys()]).map((id) => byId.get(id)!);
};

/**
 * Chooses the best members for a key by rendezvous hash.
 *
 * @param key What is to be placed.
 * @param members The members to choose from.
 * @param idOf Returns the identifier of a member.
 * @param count Most members to choose.
 * @returns The chosen members, the best first.
 *
 * @example
 * chooseByRendezvous('watch', members, ({ node }) => node, 2);
 */
export const chooseByRendezvous = <T>(
  key: string,
  members: readonly T[],
  idOf: (member: T) => string,
  count: number,
): readonly T[] => sortByRendezvous(key, members, idOf).slice(0, count);
