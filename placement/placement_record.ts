/** Identifier of an owner: `node#incarnation`. */
export type OwnerId = string;

/** A process that grants lease renewals to an owner. */
export interface WitnessReference {
  /** `node#incarnation` of the witness. */
  readonly id: OwnerId;
  readonly controlAddress: string;
  readonly failureDomain: string;
}

/**
 * `active`: may receive slots. `leaving`: transfers its slots to other owners by planned moves.
 * `removed`: lost its slots in a takeover and is never reinstated.
 */
export type OwnerState = 'active' | 'leaving' | 'removed';

/** An incarnation of a node that serves one instance of the service. */
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
   * Former witnesses during a joint change, until the owner has acknowledged the new set; empty at
   * other times.
   */
  readonly previousWitnesses: readonly WitnessReference[];
  readonly state: OwnerState;
}

/** Ownership of a slot or a hot key. */
export interface SlotState {
  readonly owner: OwnerId | undefined;
  /** Fencing token: the record version at which the owner last changed. It never decreases. */
  readonly token: number;
  /** Former owners whose leases must end before the current owner may serve. */
  readonly predecessors: readonly OwnerId[];
  /** Destination of the planned move in progress, if any. */
  readonly movingTo: OwnerId | undefined;
}

/** A key with an owner that is assigned separately from its slot. */
export interface HotKey {
  readonly key: string;
  readonly state: SlotState;
}

/** Ownership of all keys of one service. */
export interface PlacementRecord {
  readonly service: string;
  /** Incremented by each write. */
  readonly version: number;
  readonly slotCount: number;
  readonly owners: readonly Owner[];
  /** States by slot number. Slots with equal states share one object. */
  readonly slots: readonly SlotState[];
  readonly hotKeys: readonly HotKey[];
  /** Unique identifier of the write that created this version. */
  readonly writer: string;
}
