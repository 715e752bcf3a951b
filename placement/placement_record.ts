/** Identifier of an owner: `node#incarnation`. */
export type OwnerId = string;

/** A process that renews the lease of an owner. */
export interface WitnessReference {
  /** `node#incarnation` of the witness. */
  readonly id: OwnerId;
  readonly controlAddress: string;
  readonly failureDomain: string;
}

/**
 * `leaving`: hands its slots over by planned moves. `removed`: lost its slots by a takeover and
 * never comes back.
 */
export type OwnerState = 'active' | 'leaving' | 'removed';

/** One incarnation of a node that serves one instance of the service. */
export interface Owner {
  readonly id: OwnerId;
  readonly node: string;
  readonly incarnation: string;
  readonly instance: string;
  readonly controlAddress: string;
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Relative capacity of the instance. */
  readonly weight: number;
  readonly witnesses: readonly WitnessReference[];
  /**
   * The set before a joint change, until the owner has acknowledged the new set; otherwise empty.
   */
  readonly previousWitnesses: readonly WitnessReference[];
  readonly state: OwnerState;
}

/** Who owns a slot or a hot key. */
export interface SlotState {
  readonly owner: OwnerId | undefined;
  /** Fencing token: the record version at which the owner last changed. It only rises. */
  readonly token: number;
  /** Former owners whose leases must have ended before the owner may serve. */
  readonly predecessors: readonly OwnerId[];
  /** Destination of a planned move in progress. */
  readonly movingTo: OwnerId | undefined;
}

/** A key that has an owner of its own, apart from its slot. */
export interface HotKey {
  readonly key: string;
  readonly state: SlotState;
}

/** Ownership of all keys of one service. */
export interface PlacementRecord {
  readonly service: string;
  /** Rises by one with each write. */
  readonly version: number;
  readonly slotCount: number;
  readonly owners: readonly Owner[];
  /** Index is the slot number. Slots that are alike share one object. */
  readonly slots: readonly SlotState[];
  readonly hotKeys: readonly HotKey[];
  /** Unique identifier of the write that made this version. */
  readonly writer: string;
}
