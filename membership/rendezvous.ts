import { xxHash32 } from 'js-xxhash';

/**
 * Ranks members for a key by rendezvous (highest random weight) hashing. A member that joins or
 * leaves does not change the relative order of the others.
 *
 * @param key The key to assign, for example a customer.
 * @param members Identifiers of the members, in any order.
 * @returns The identifiers, highest rank first.
 *
 * @example
 * const [first] = rankByRendezvous('acme', ['n1', 'n2', 'n3']);
 */
export const rankByRendezvous = (key: string, members: readonly string[]): readonly string[] => (
  members
    .map((member) => ({ member, score: xxHash32(`${key}\n${member}`) }))
    .sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
);

/**
 * Sorts items by the rendezvous rank of their identifiers.
 *
 * @param key The key to assign.
 * @param items The items.
 * @param idOf Returns the identifier of an item; a duplicate replaces the earlier item.
 * @returns The items, highest rank first.
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
  return rankByRendezvous(key, [...byId.keys()]).map((id) => byId.get(id)!);
};

/**
 * Selects the highest-ranked members for a key by rendezvous hashing.
 *
 * @param key The key to assign.
 * @param members The members to select from.
 * @param idOf Returns the identifier of a member.
 * @param count Maximum number of members to select.
 * @returns The selected members, highest rank first.
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
