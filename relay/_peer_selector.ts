import type { Membership } from '../membership/mod.ts';

/** Looks up and samples the control addresses of members. */
export interface PeerSelector {
  readonly addressOf: (node: string) => string | undefined;
  /** Returns the control addresses of up to `count` other members, sampled at random. */
  readonly sample: (count: number) => readonly string[];
}

/** Creates a selector over the known members. */
export const createPeerSelector = (membership: Membership, random: () => number): PeerSelector => ({
  addressOf: (node) => membership.find(node)?.controlAddress,
  sample: (count) => {
    const own = membership.self().node;
    const candidates = membership.members().filter(({ node }) => node !== own);
    const chosen: string[] = [];
    while (chosen.length < count && candidates.length > 0) {
      const [member] = candidates.splice(Math.floor(random() * candidates.length), 1);
      if (member) chosen.push(member.controlAddress);
    }
    return chosen;
  },
});
