import type { InstanceInfo, MemberUpdate } from '../proto/mod.ts';

/** What a node tells the others about itself. */
export interface MemberDescription {
  readonly node: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly controlAddress: string;
  readonly peerAddress: string;
  readonly instances: readonly InstanceInfo[];
}

/** The nodes that this node knows, kept by gossip. Ownership never depends on it. */
export interface Membership {
  readonly self: () => MemberUpdate;
  /** All known members that are alive or suspected, this node included. */
  readonly members: () => readonly MemberUpdate[];
  readonly find: (node: string) => MemberUpdate | undefined;
  /** Publishes a new list of this node's instances. */
  readonly updateInstances: (instances: readonly InstanceInfo[]) => void;
  /** Returns a function that removes the listener. */
  readonly onChange: (listener: (member: MemberUpdate) => void) => () => void;
  /** Tells the others that this node leaves, and stops. */
  readonly leave: () => Promise<void>;
  readonly stop: () => Promise<void>;
}
