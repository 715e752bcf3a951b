import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, Placements,
} from '../placement/mod.ts';
import type { ControlBody, ControlValue } from '../proto/mod.ts';
import { type Logger, silentLogger } from '../telemetry/mod.ts';
import { createPauseDetector } from './_pause_detector.ts';
import { allWitnesses, nodeOf } from './_quorum.ts';
import { findOwner, indexOf } from './_record_index.ts';
import { LEASE_DURATION_MS } from './timing.ts';

/** An owner that this process watches. */
export interface WitnessedOwner {
  readonly service: string;
  readonly owner: Owner;
}

/** Renews or refuses the leases of the owners whose record names this process. */
export interface Witness {
  /** `node#incarnation` of this process. */
  readonly id: OwnerId;
  /**
   * Owners that are not removed and name this process, or a former process of this node, as
   * witness.
   */
  readonly witnessed: () => readonly WitnessedOwner[];
  /**
   * Time in ms since the owner was last in contact in both directions; `undefined` when this
   * process does not watch it.
   */
  readonly silenceMs: (service: string, owner: OwnerId) => number | undefined;
  readonly stop: () => void;
}

/** Options of a witness. */
export interface WitnessOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly node: string;
  /** Incarnation of this process. */
  readonly incarnation: string;
  readonly logger?: Logger;
}

interface Observation {
  readonly sinceMs: number;
  renewedMs: number | undefined;
  unconfirmedMs: number;
  /** Version of the record under which the owner was fenced; 0 when it was not. */
  fencedVersion: number;
}

type Role = 'named' | 'former';

const renewed = (granted: boolean, reason: string): ControlBody => (
  { $case: 'renewed', value: { granted, reason } }
);

const fenced = (value: ControlValue<'fenced'>): ControlBody => ({ $case: 'fenced', value });

/**
 * Creates the witness of this process and registers its handlers for `renew`, `witnessQuery` and
 * `fence`. Its memory ends with the process, so create it once for each process.
 *
 * @param options Clock, transport, placements and the identity of the process.
 * @returns The witness.
 *
 * @example
 * const witness = createWitness({ clock, transport, placements, node: 'n1', incarnation: '7' });
 */
export const createWitness = (options: WitnessOptions): Witness => {
  const { clock, transport, placements } = options;
  const logger = options.logger ?? silentLogger.forPart('lease');
  const id = `${options.node}#${options.incarnation}`;
  const startedMs = clock.now();
  const observations = new Map<string, Observation>();
  const watched = new Map<string, readonly WitnessedOwner[]>();
  const reads = new Map<string, Promise<PlacementRecord | undefined>>();
  const detector = createPauseDetector(clock, () => undefined);

  const roleFor = (owner: Owner): Role | undefined => {
    const references = allWitnesses(owner);
    if (references.some((reference) => reference.id === id)) return 'named';
    const isFormer = references.some((reference) => nodeOf(reference.id) === options.node);
    return isFormer ? 'former' : undefined;
  };

  const keyOf = (service: string, owner: OwnerId) => `${service} ${owner}`;

  const observe = (service: string, owner: OwnerId): Observation => {
    const key = keyOf(service, owner);
    const known = observations.get(key);
    if (known) return known;
    const created: Observation = {
      sinceMs: clock.now(), renewedMs: undefined, unconfirmedMs: 0, fencedVersion: 0,
    };
    observations.set(key, created);
    return created;
  };

  const accept = (record: PlacementRecord) => {
    const { service } = record;
    const found: WitnessedOwner[] = [];
    for (const owner of record.owners) {
      const role = owner.state === 'removed' ? undefined : roleFor(owner);
      if (!role) continue;
      found.push({ service, owner });
      observe(service, owner.id);
    }
    watched.set(service, found);
    // An owner that left the record never returns, and an owner it does not list is refused. A
    // fence may rest on a later record than this one, in which the owner is yet to appear.
    const { owners } = indexOf(record);
    for (const [key, { fencedVersion }] of [...observations]) {
      const [keyService, owner = ''] = key.split(' ');
      const isGone = keyService === service && !owners.has(owner);
      if (isGone && fencedVersion < record.version) observations.delete(key);
    }
  };

  const silenceMs: Witness['silenceMs'] = (service, ownerId) => {
    const owner = findOwner(placements.current(service), ownerId);
    const role = owner && roleFor(owner);
    if (!role) return undefined;
    const nowMs = clock.now();
    if (role === 'former') return nowMs - Math.max(startedMs, detector.lastPauseMs());
    const observation = observe(service, ownerId);
    const heardMs = observation.renewedMs ?? observation.sinceMs;
    const quietMs = nowMs - Math.max(heardMs, detector.lastPauseMs());
    // The owner is heard, but does not hear the answers or gets no majority.
    return observation.unconfirmedMs >= LEASE_DURATION_MS
      ? Math.max(quietMs, observation.unconfirmedMs)
      : quietMs;
  };

  const refusalOf = (request: ControlValue<'renew'>): string | undefined => {
    if (request.witness !== id) return `this process is ${id}`;
    const owner = findOwner(placements.current(request.service), request.owner);
    if (!owner) return 'the record does not list the owner';
    if (owner.state === 'removed') return 'the owner was removed';
    if (roleFor(owner) !== 'named') return 'the record does not name this witness';
    return observe(request.service, request.owner).fencedVersion > 0
      ? 'the owner is fenced'
      : undefined;
  };

  transport.handle('renew', (request) => {
    const refusal = refusalOf(request);
    if (refusal !== undefined) {
      logger.debug({ ...request }, `refused to renew: ${refusal}`);
      return renewed(false, refusal);
    }
    const observation = observe(request.service, request.owner);
    observation.renewedMs = clock.now();
    observation.unconfirmedMs = request.unconfirmedMs;
    return renewed(true, '');
  });

  transport.handle('witnessQuery', ({ service, owner, witness }) => {
    const isFormer = witness !== id && nodeOf(witness) === options.node;
    const ageMs = silenceMs(service, owner);
    return {
      $case: 'witnessStatus',
      value: {
        known: !isFormer && witness === id && ageMs !== undefined,
        lastRenewalAgeMs: isFormer ? clock.now() - startedMs : ageMs ?? 0,
        fenced: isFormer || (observations.get(keyOf(service, owner))?.fencedVersion ?? 0) > 0,
      },
    };
  });

  /** Reads the record from the store; repeated fences during an outage share one call. */
  const readRecord = (service: string): Promise<PlacementRecord | undefined> => {
    const pending = reads.get(service);
    if (pending) return pending;
    let found: PlacementRecord | undefined;
    const read = placements.update(service, (record) => {
      found = record;
      return undefined;
    }).then(() => {
      reads.delete(service);
      return found;
    });
    reads.set(service, read);
    return read;
  };

  /** A record of `version` or later, from memory or from the store. */
  const recordAt = async (service: string, version: number) => {
    const isRecent = (record: PlacementRecord | undefined) => (record?.version ?? 0) >= version;
    const known = placements.current(service);
    if (isRecent(known)) return known;
    const read = await readRecord(service);
    const current = placements.current(service);
    if (isRecent(current)) return current;
    return isRecent(read) ? read : undefined;
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
    const observation = observe(service, owner);
    if (observation.fencedVersion === 0) {
      logger.info({ service, owner, version }, 'fenced a removed owner');
    }
    observation.fencedVersion = version;
    return fenced({
      accepted: true,
      formerIncarnation: false,
      lastRenewalAgeMs: clock.now() - (observation.renewedMs ?? startedMs),
      reason: '',
    });
  });

  const stopListening = placements.onChange(accept);
  for (const service of placements.services()) {
    const record = placements.current(service);
    if (record) accept(record);
  }

  return {
    id,
    witnessed: () => [...watched.values()].flat(),
    silenceMs,
    stop: () => {
      stopListening();
      detector.stop();
    },
  };
};
