import type { InstanceInfo, MemberUpdate } from '../proto/mod.ts';

/** What a node publishes about itself to the other nodes. */
export interface MemberDescription {
  readonly node: string;
  /** Identifier that is unique for each start of the process. */
  readonly incarnation: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly controlAddress: string;
  readonly peerAddress: string;
  readonly instances: readonly InstanceInfo[];
}

/** The members known to this node, maintained by gossip. Ownership of keys never depends on it. */
export interface Membership {
  readonly self: () => MemberUpdate;
  /** Returns the members that are alive or suspected, including this node. */
  readonly members: () => readonly MemberUpdate[];
  /** Returns a member that is alive or suspected. */
  readonly find: (node: string) => MemberUpdate | undefined;
  /** Replaces the published list of this node's instances. */
  readonly updateInstances: (instances: readonly InstanceInfo[]) => void;
  /** Adds a listener for changed members; returns a function that removes it. */
  readonly onChange: (listener: (member: MemberUpdate) => void) => () => void;
  /** Announces that this node leaves, deregisters it from the store and stops. */
  readonly leave: () => Promise<void>;
  /** Stops without announcing it; the other nodes will detect a failure. */
  readonly stop: () => Promise<void>;
}
