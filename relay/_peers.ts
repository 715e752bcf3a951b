import type { Membership } from '../membership/mod.ts';

/** Chooses members to talk to. */
export interface Peers {
  readonly addressOf: (node: string) => string | undefined;
  /** Control addresses of up to `count` other members, chosen at random. */
  readonly choose: (count: number) => readonly string[];
}

export const createPeers = (membership: Membership, random: () => number): Peers => ({
  addressOf: (node) => membership.find(node)?.controlAddress,
  choose: (count) => {
    const own = membership.self().node;
    const rest = membership.members().filter(({ node }) => node !== own);
    const chosen: string[] = [];
    while (chosen.length < count && rest.length > 0) {
      const [member] = rest.splice(Math.floor(random() * rest.length), 1);
      if (member) chosen.push(member.controlAddress);
    }
    return chosen;
  },
});
