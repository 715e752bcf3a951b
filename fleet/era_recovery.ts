import type { Clock } from '../clock/mod.ts';
import {
  type FleetView, type NodeEntry, RANGES_PREFIX, rangesKey, type StoreEraState, type StoreView,
} from '../directory/mod.ts';
import {
  confirmRecord, decodeRecord, emptyRecord, encodeRecord, type EraRight, isNewerRecord,
  type Owner, type RangeRecord, stampRecord,
} from '../ranges/mod.ts';
import { eraOfRevision, type LeasedStore, type StoreEras } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** A range record and the store revision at which it was read. */
export interface VersionedRecord {
  readonly record: RangeRecord;
  readonly version: number;
}

/** Brings what this node knows about keys into a store that was restored from an older copy. */
export interface EraRecovery {
  /** Reports whether the view shows the current era. */
  readonly isViewCurrent: () => boolean;
  /** Reports whether a stored record, or its absence, is valid in the current era. */
  readonly isConfirmed: (stored: RangeRecord | undefined) => boolean;
  /** Reports whether this node may grant its rows of a record that is not confirmed. */
  readonly isTrusted: (service: string) => boolean;
  /** Remembers a confirmed record, as a late write of an earlier era may replace it. */
  readonly note: (service: string, stored: VersionedRecord) => void;
  /** The newer of a stored record and the one that this node remembers, if it is not confirmed. */
  readonly newestOf: (
    service: string,
    stored: VersionedRecord | undefined,
  ) => VersionedRecord | undefined;
  /** Writes the remembered records that are newer than the stored ones. */
  readonly contribute: () => Promise<void>;
  /** Confirms the record of a service if this node may; `rank` is its place among the owners. */
  readonly confirm: (service: string, rank: number) => Promise<void>;
  /** Returns a record as it is written after `before`. */
  readonly stamp: (record: RangeRecord, before: RangeRecord) => RangeRecord;
  /** What the entry of this node says; undefined as long as the era has not risen. */
  readonly declaration: () => StoreEraState | undefined;
}

/** What a node has written after a rise of the era. */
export type Rewrite = 'entry' | 'record' | 'confirmation' | 'departures';

/** Options for {@link createEraRecovery}. */
export interface EraRecoveryOptions {
  readonly clock: Clock;
  readonly store: Pick<LeasedStore, 'get' | 'transact'>;
  readonly eras: StoreEras;
  readonly right: EraRight;
  /** Time in ms for which this node may grant holds. */
  readonly grantableMs: () => number;
  readonly view: StoreView;
  readonly fleet: Pick<FleetView, 'known' | 'present'>;
  readonly logger: Logger;
  /** Time in ms after which every hold of the earlier era that no node has declared has ended. */
  readonly waitMs: number;
  /** Reports whether this process was started with the fleet, before which no record existed. */
  readonly isFirstStart: boolean;
  /** Reports whether this host has an instance of a service. */
  readonly isLocal: (service: string) => boolean;
  /** Called when the declaration of this node has changed. */
  readonly onDeclaration?: () => void;
  readonly onRewrite?: (what: Rewrite) => void;
}

/** Eras up to this one may be the first, before which nothing can have been lost. */
const LAST_FIRST_ERA = 1;
/** Lets the nodes with an instance of a service write its record, as all may know it. */
const REMOTE_DELAY_MS = 500;
/** A record is confirmed by the first owner; each further one waits this much longer. */
const CONFIRM_DELAY_PER_RANK_MS = 700;

const isConfirmedIn = (record: RangeRecord | undefined, era: number, rises: number) => (
  // A record without an era was written by a build that knows none.
  record?.era === undefined ? rises === 0 && era <= LAST_FIRST_ERA : record.era === era
);

/**
 * Creates the recovery of a node. `docs/design/era.md` gives its steps and the reasons why no key
 * has two owners meanwhile.
 *
 * @param options Clock, store, eras, right to grant and views.
 * @returns The recovery; it makes no call to the store as long as the era has not risen.
 *
 * @example
 * await recovery.contribute();
 * if (!recovery.isConfirmed(stored)) await recovery.confirm('ledger', 0);
 */
export const createEraRecovery = (options: EraRecoveryOptions): EraRecovery => {
  const {
    clock, store, eras, right, view, fleet,
  } = options;
  const logger = options.logger.forComponent('era');
  /** Newest known records; a confirmed one replaces that of an earlier era. */
  const remembered = new Map<string, VersionedRecord>();
  const confirmableSince = new Map<string, number>();
  let awaited: readonly NodeEntry[] = [];
  /** Services whose records this node knew, and could rely on, at each rise so far. */
  let trusted: ReadonlySet<string> = new Set();
  let trustsAbsence = false;
  let declared: StoreEraState | undefined;
  let isContributing = false;
  let rewritten: string[] = [];

  const isConfirmed: EraRecovery['isConfirmed'] = (stored) => {
    if (!eras.isKnown()) return true;
    const isFirstOfFleet = stored === undefined && options.isFirstStart && eras.rises() === 0;
    return isFirstOfFleet || isConfirmedIn(stored, eras.current(), eras.rises());
  };

  const readStored = (service: string): VersionedRecord | undefined => {
    const entry = view.get(rangesKey(service));
    const record = entry && decodeRecord(entry.value);
    return record && { record, version: entry.revision };
  };

  const isTrusted = (service: string) => (
    remembered.has(service) ? trusted.has(service) : trustsAbsence
  );

  /** Keeps the records of the view, which still shows the earlier era. */
  const remember = (former: number) => {
    const isContinuous = view.isLoaded() && options.grantableMs() > 0;
    const formerRises = eras.rises() - 1;
    const reliable = new Set<string>();
    for (const { key, value, revision } of view.entries()) {
      if (!key.startsWith(RANGES_PREFIX)) continue;
      const service = key.slice(RANGES_PREFIX.length);
      const record = decodeRecord(value);
      if (record === undefined) continue;
      const isReliable = isTrusted(service) || isConfirmedIn(record, former, formerRises);
      if (isContinuous && isReliable) reliable.add(service);
      if (isNewerRecord(record, remembered.get(service)?.record)) {
        remembered.set(service, { record, version: revision });
      }
    }
    trusted = reliable;
    trustsAbsence = isContinuous
      && (trustsAbsence || isConfirmedIn(undefined, former, formerRises));
  };

  let roseAt = -Infinity;
  eras.onRise((era, former) => {
    const isOver = clock.now() - roseAt > options.waitMs;
    awaited = [...(isOver ? [] : awaited), ...fleet.known()];
    remember(former);
    roseAt = clock.now();
    rewritten = [];
    confirmableSince.clear();
    logger.warn({
      era, former, trusted: [...trusted], records: remembered.size, awaited: awaited.length,
    }, 'the store was restored from an older copy');
  });

  const hasContributed = () => eras.rises() === 0 || declared?.contributed === eras.current();
  const isViewCurrent = () => (
    view.isLoaded() && (!eras.isKnown() || eraOfRevision(view.revision()) === eras.current())
  );

  const findDeclared = (node: string): NodeEntry | undefined => {
    const entry = fleet.present().get(node);
    return entry?.storeEra?.contributed === eras.current() ? entry : undefined;
  };
  const isTrustedOwner = ({ node }: Owner) => findDeclared(node)?.storeEra?.isTrusted === true;

  const mayConfirm = (service: string, { rows }: RangeRecord) => {
    if (!hasContributed()) return false;
    if (clock.now() - eras.since() >= options.waitMs) return true;
    if (!isTrusted(service)) return false;
    for (const { node, startedAt } of awaited) {
      if (findDeclared(node)?.startedAt !== startedAt) return false;
    }
    return rows.every(({ owner }) => owner === undefined || findDeclared(owner.node) !== undefined);
  };

  const write = async (service: string, record: RangeRecord, what: Rewrite): Promise<void> => {
    const key = rangesKey(service);
    const value = encodeRecord(record);
    const from = view.get(key)?.revision ?? 0;
    const result = await store.transact({
      expect: [{ key, revision: from }], puts: [{ key, value }],
    });
    const fields = {
      service, era: eras.current(), serial: record.serial, what,
    };
    if (result.isOk()) {
      view.apply({ key, revision: result.value, value });
      rewritten.push(`${what} ${service}`);
      options.onRewrite?.(what);
      logger.info({ ...fields, from, to: result.value }, 'wrote a range record again');
      return;
    }
    logger.warn({ ...fields, reason: result.error.message }, 'failed to write a range record');
    const newest = await store.get(key);
    if (newest.isOk() && newest.value !== undefined) view.apply(newest.value);
  };

  /** Returns the remembered records that the store lacks. */
  const findMissing = () => {
    const missing: [string, RangeRecord][] = [];
    for (const [service, { record }] of remembered) {
      const stored = readStored(service);
      const isUnreadable = stored === undefined && view.get(rangesKey(service)) !== undefined;
      if (isUnreadable || (stored !== undefined && isConfirmed(stored.record))) continue;
      if (isNewerRecord(record, stored?.record)) missing.push([service, record]);
    }
    return missing;
  };

  const contribute = async () => {
    if (hasContributed() || isContributing || !isViewCurrent()) return;
    isContributing = true;
    const era = eras.current();
    const isDelayed = clock.now() - eras.since() < REMOTE_DELAY_MS;
    for (const [service, record] of findMissing()) {
      if (isDelayed && !options.isLocal(service)) continue;
      await write(service, record, 'record');
    }
    isContributing = false;
    // The era may have risen again meanwhile.
    if (era !== eras.current() || findMissing().length > 0) return;
    declared = { contributed: era, isTrusted: [...remembered.keys()].every(isTrusted) };
    right.resume();
    options.onRewrite?.('entry');
    logger.warn({ ...declared, rewritten }, 'the restored store has what this node knows');
    options.onDeclaration?.();
  };

  return {
    isViewCurrent,
    isConfirmed,
    isTrusted,
    note: (service, stored) => {
      if (eras.isKnown() && isConfirmed(stored.record)) remembered.set(service, stored);
    },
    newestOf: (service, stored) => {
      const known = remembered.get(service);
      if (known === undefined || isConfirmed(stored?.record)) return stored;
      return isNewerRecord(known.record, stored?.record) ? known : stored;
    },
    contribute,
    confirm: async (service, rank) => {
      const stored = readStored(service)?.record;
      const known = remembered.get(service)?.record;
      // A late write of an earlier era may have replaced a confirmed record.
      if (known !== undefined && isConfirmed(known) && isNewerRecord(known, stored)) {
        await write(service, known, 'record');
        return;
      }
      const record = stored ?? emptyRecord;
      if (!mayConfirm(service, record)) {
        confirmableSince.delete(service);
        return;
      }
      const since = confirmableSince.get(service) ?? clock.now();
      confirmableSince.set(service, since);
      if (clock.now() - since < rank * CONFIRM_DELAY_PER_RANK_MS) return;
      const confirmed = confirmRecord(record, eras.current(), isTrustedOwner);
      await write(service, confirmed, 'confirmation');
    },
    stamp: (record, before) => (
      eras.isKnown() ? stampRecord(record, before, eras.current()) : record
    ),
    declaration: () => declared,
  };
};
