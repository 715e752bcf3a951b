/** Membership of the fleet by gossip. */
export type { MemberDescription, Membership } from './membership.ts';
