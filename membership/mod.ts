/** Fleet membership by gossip, and assignment of keys to members by rendezvous hashing. */
export type { MemberDescription, Membership } from './membership.ts';
export { createMembership, type MembershipOptions } from './create_membership.ts';
export type { MembershipTimings } from './_timings.ts';
export { chooseByRendezvous, rankByRendezvous, sortByRendezvous } from './rendezvous.ts';
export { createFakeMembership, type FakeMembership } from './fake_membership.ts';
