import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, Placements,
} from '../placement/mod.ts';
import type { ControlBody, ControlValue } from '../proto/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { createPauseDetector } from './_pause_detector.ts';
import { allWitnesses, nodeOf } from './_quorum.ts';
import { findOwner, recordIndexOf } from './_record_index.ts';
import { LEASE_DURATION_MS } from './timing.ts';

/** An owner that this process is a witness of. */
export interface WitnessedOwner {
  readonly service: string;
  readonly owner: Owner;
}

/** Grants or refuses lease renewals of the owners that list this process as a witness. */
export interface Witness {
  /** `node#incarnation` of this process. */
  readonly id: OwnerId;
  /**
   * Owners that are not removed and list this process, or an earlier process of this node, as a
   * witness.
   */
  readonly witnessedOwners: () => readonly WitnessedOwner[];
  /**
   * Time in ms since the last confirmed two-way contact with the owner; `undefined` when this
   * process is not a witness of it.
   */
  readonly contactAgeMs: (service: string, owner: OwnerId) => number | undefined;
  readonly stop: () => void;
}

/** Options of `createWitness`. */
export interface WitnessOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly node: string;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly logger?: Logger;
}

interface OwnerObservation {
  readonly firstSeenMs: number;
  lastRenewalMs: number | undefined;
  unconfirmedMs: number;
  /** Version of the placement record that the fence was based on; 0 when not fenced. */
  fencedVersion: number;
}

/**
 * `named`: the record lists this process as a witness. `former`: it lists an earlier process of
 * this node.
 */
type WitnessRole = 'named' | 'former';

const renewed = (granted: boolean, reason: string): ControlBody => (
  { $case: 'renewed', value: { granted, reason } }
);

const fenced = (value: ControlValue<'fenced'>): ControlBody => ({ $case: 'fenced', value });

/**
 * Creates the witness of this process and registers its handlers for `renew`, `witnessQuery` and
 * `fence` messages. Its state is kept in memory only, so create exactly one for each process.
 *
 * @param options Clock, transport, placements and the identity of the process.
 * @returns The witness.
 *
 * @example
 * const witness = createWitness({ clock, transport, placements, node: 'n1', incarnation: '7' });
 */
export const createWitness = (options: WitnessOptions): Witness => {
  const { clock, transport, placements } = options;
  const logger = options.logger ?? noopLogger.forComponent('lease');
  const id = `${options.node}#${options.incarnation}`;
  const startedMs = clock.now();
  const observations = new Map<string, OwnerObservation>();
  const witnessedByService = new Map<string, readonly WitnessedOwner[]>();
  const pendingReads = new Map<string, Promise<PlacementRecord | undefined>>();
  const pauseDetector = createPauseDetector(clock, () => undefined);

  const roleOf = (owner: Owner): WitnessRole | undefined => {
    const references = allWitnesses(owner);
    if (references.some((reference) => reference.id === id)) return 'named';
    const isFormer = references.some((reference) => nodeOf(reference.id) === options.node);
    return isFormer ? 'former' : undefined;
  };

  const keyOf = (service: string, owner: OwnerId) => `${service} ${owner}`;

  const observationOf = (service: string, owner: OwnerId): OwnerObservation => {
    const key = keyOf(service, owner);
    const known = observations.get(key);
    if (known) return known;
    const created: OwnerObservation = {
      firstSeenMs: clock.now(), lastRenewalMs: undefined, unconfirmedMs: 0, fencedVersion: 0,
    };
    observations.set(key, created);
    return created;
  };

  const applyRecord = (record: PlacementRecord) => {
    const { service } = record;
    const found: WitnessedOwner[] = [];
    for (const owner of record.owners) {
      const role = owner.state === 'removed' ? undefined : roleOf(owner);
      if (!role) continue;
      found.push({ service, owner });
      observationOf(service, owner.id);
    }
    witnessedByService.set(service, found);
    // The state of an owner that has left the record can be dropped: it never comes back, and
    // renewals of unlisted owners are refused. A fence based on a later record than this one is
    // kept, as this record may be too old to list the owner.
    const { owners } = recordIndexOf(record);
    for (const [key, { fencedVersion }] of [...observations]) {
      const [keyService, owner = ''] = key.split(' ');
      const isGone = keyService === service && !owners.has(owner);
      if (isGone && fencedVersion < record.version) observations.delete(key);
    }
  };

  const contactAgeMs: Witness['contactAgeMs'] = (service, ownerId) => {
    const owner = findOwner(placements.current(service), ownerId);
    const role = owner && roleOf(owner);
    if (!role) return undefined;
    const nowMs = clock.now();
    if (role === 'former') return nowMs - Math.max(startedMs, pauseDetector.lastPauseMs());
    const observation = observationOf(service, ownerId);
    const lastContactMs = observation.lastRenewalMs ?? observation.firstSeenMs;
    const sinceContactMs = nowMs - Math.max(lastContactMs, pauseDetector.lastPauseMs());
    // Renewals arrive, but the owner does not receive the replies or gets no majority.
    return observation.unconfirmedMs >= LEASE_DURATION_MS
      ? Math.max(sinceContactMs, observation.unconfirmedMs)
      : sinceContactMs;
  };

  const renewalRefusal = (request: ControlValue<'renew'>): string | undefined => {
    if (request.witness !== id) return `this process is ${id}`;
    const owner = findOwner(placements.current(request.service), request.owner);
    if (!owner) return 'the record does not list the owner';
    if (owner.state === 'removed') return 'the owner was removed';
    if (roleOf(owner) !== 'named') return 'the record does not name this witness';
    return observationOf(request.service, request.owner).fencedVersion > 0
      ? 'the owner is fenced'
      : undefined;
  };

  transport.handle('renew', (request) => {
    const refusal = renewalRefusal(request);
    if (refusal !== undefined) {
      logger.debug({ ...request }, `refused a lease renewal: ${refusal}`);
      return renewed(false, refusal);
    }
    const observation = observationOf(request.service, request.owner);
    observation.lastRenewalMs = clock.now();
    observation.unconfirmedMs = request.unconfirmedMs;
    return renewed(true, '');
  });

  transport.handle('witnessQuery', ({ service, owner, witness }) => {
    const isFormer = witness !== id && nodeOf(witness) === options.node;
    const ageMs = contactAgeMs(service, owner);
    return {
      $case: 'witnessStatus',
      value: {
        known: !isFormer && witness === id && ageMs !== undefined,
        lastRenewalAgeMs: isFormer ? clock.now() - startedMs : ageMs ?? 0,
        fenced: isFormer || (observations.get(keyOf(service, owner))?.fencedVersion ?? 0) > 0,
      },
    };
  });

  /** Reads the record from the store; concurrent fence messages share one read. */
  const readRecord = (service: string): Promise<PlacementRecord | undefined> => {
    const pending = pendingReads.get(service);
    if (pending) return pending;
    let found: PlacementRecord | undefined;
    const read = placements.update(service, (record) => {
      found = record;
      return undefined;
    }).then(() => {
      pendingReads.delete(service);
      return found;
    });
    pendingReads.set(service, read);
    return read;
  };

  /** Returns a record of `version` or later, from memory or from the store. */
  const recordAt = async (service: string, version: number) => {
    const isRecentEnough = (record: PlacementRecord | undefined) => (
      (record?.version ?? 0) >= version
    );
    const known = placements.current(service);
    if (isRecentEnough(known)) return known;
    const read = await readRecord(service);
    const current = placements.current(service);
    if (isRecentEnough(current)) return current;
    return isRecentEnough(read) ? read : undefined;
  };

  transport.handle('fence', async ({
    service, owner, witness, version,
  }) => {
    if (witness !== id) {
      const isFormer = nodeOf(witness) === options.node;
      return fenced({
        accepted: isFormer,
        formerIncarnation: isFormer,
        lastRenewalAgeMs: clock.now() - startedMs,
        reason: isFormer ? '' : `this process is ${id}`,
      });
    }
    const record = await recordAt(service, version);
    if (findOwner(record, owner)?.state !== 'removed') {
      const reason = record ? 'the record does not show the owner as removed' : 'unknown version';
      return fenced({
        accepted: false, formerIncarnation: false, lastRenewalAgeMs: 0, reason,
      });
    }
    const observation = observationOf(service, owner);
    if (observation.fencedVersion === 0) {
      logger.info({ service, owner, version }, 'fenced a removed owner');
    }
    observation.fencedVersion = version;
    return fenced({
      accepted: true,
      formerIncarnation: false,
      lastRenewalAgeMs: clock.now() - (observation.lastRenewalMs ?? startedMs),
      reason: '',
    });
  });

  const stopListening = placements.onChange(applyRecord);
  for (const service of placements.services()) {
    const record = placements.current(service);
    if (record) applyRecord(record);
  }

  return {
    id,
    witnessedOwners: () => [...witnessedByService.values()].flat(),
    contactAgeMs,
    stop: () => {
      stopListening();
      pauseDetector.stop();
    },
  };
};
