import { err, ok, type Result } from 'neverthrow';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import type { EntryWrite, LeasedStore } from './leased_store.ts';
import type { StoreEntry } from './store.ts';
import {
  eraOfRevision, type StoreEras, toEraRevision, toStoreRevision,
} from './store_eras.ts';

/** Receives the era that a response names, undefined if none, before the response is used. */
export type OnEra = (era: number | undefined) => void;

/** A store whose calls tell the era of each response; its revisions are those of its era. */
export type EraReportingStore = {
  readonly [Call in keyof LeasedStore]: (
    ...values: [...Parameters<LeasedStore[Call]>, onEra?: OnEra]
  ) => ReturnType<LeasedStore[Call]>;
};

/** A result and the era of the response that brought it. */
interface EraResult<T> {
  readonly result: Result<T, StoreError>;
  readonly era: number;
  /** False if the store was restored between the call and its response. */
  readonly isSameEra: boolean;
}

interface Lease {
  /** Number of the lease in the store, which a later era may issue again. */
  readonly id: number;
  readonly era: number;
}

const fail = (kind: StoreErrorKind, reason: string, step: string) => (
  err(new StoreError(kind, reason, { step: `store.${step}` }))
);

/**
 * Makes the calls of a store safe across eras. Revisions become comparable across eras and leases
 * get local numbers. Calls that depend on an earlier era fail, and its late responses are dropped.
 * Without eras, calls and results pass unchanged.
 *
 * @param store The store to wrap.
 * @param eras Record of the eras; its listeners are called before the result of a call.
 * @returns The wrapped store.
 *
 * @example
 * const eras = createStoreEras(clock);
 * const store = followEras(createPlatformStore({ address }), eras);
 */
export const followEras = (store: EraReportingStore, eras: StoreEras): LeasedStore => {
  const leases = new Map<number, Lease>();
  let lastLease = 0;

  /** Makes a call; a dropped response results in `droppedAs`. */
  const send = async <T>(
    step: string,
    droppedAs: StoreErrorKind,
    call: (onEra: OnEra) => Promise<Result<T, StoreError>>,
  ): Promise<EraResult<T>> => {
    const risesBefore = eras.rises();
    const seen = new Set<number>();
    const result = await call((era) => seen.add(eras.observe(era)));
    const era = eras.current();
    const isLate = [...seen].some((other) => other < era);
    return {
      result: isLate ? fail(droppedAs, 'the response is of an earlier era', step) : result,
      era,
      isSameEra: eras.rises() === risesBefore,
    };
  };

  const toEntry = (entry: StoreEntry, era: number): StoreEntry => (
    { ...entry, revision: toEraRevision(entry.revision, era) }
  );

  const isOutdated = (revision: number) => (
    eras.isKnown() && revision !== 0 && eraOfRevision(revision) !== eras.current()
  );

  const findLease = (lease: number): number | undefined => {
    const known = leases.get(lease);
    if (known === undefined) return eras.isKnown() ? undefined : lease;
    return known.era === eras.current() ? known.id : undefined;
  };

  const callLease = async (
    step: 'renewLease' | 'revokeLease',
    lease: number,
  ): Promise<Result<void, StoreError>> => {
    const id = findLease(lease);
    if (id === undefined) return fail('lease-ended', 'the lease is of an earlier era', step);
    const { result, isSameEra } = await send(step, 'unknown', (onEra) => store[step](id, onEra));
    const hasEnded = step === 'revokeLease' ? result.isOk() : (
      result.isErr() && result.error.kind === 'lease-ended'
    );
    if (hasEnded || !isSameEra) leases.delete(lease);
    return isSameEra ? result : fail('lease-ended', 'the store was restored', step);
  };

  eras.onRise(() => leases.clear());

  return {
    get: async (key) => {
      const { result, era } = await send('get', 'unknown', (onEra) => store.get(key, onEra));
      return result.map((entry) => entry && toEntry(entry, era));
    },
    list: async (prefix) => {
      const { result, era } = await send('list', 'unknown', (onEra) => store.list(prefix, onEra));
      return result.map(({ entries, at }) => ({
        entries: entries.map((entry) => toEntry(entry, era)), at: toEraRevision(at, era),
      }));
    },
    watch: async (prefix, after, wait) => {
      if (isOutdated(after)) {
        return fail('compacted', 'the revision is of another era', 'watch');
      }
      const sentIn = after === 0 ? 0 : eras.current();
      const { result, era, isSameEra } = await send('watch', 'compacted', (onEra) => (
        store.watch(prefix, toStoreRevision(after, sentIn), wait, onEra)
      ));
      if (!isSameEra) return fail('compacted', 'the store was restored', 'watch');
      return result.map((changes) => ({
        ...changes,
        events: changes.events.map((event) => (
          { ...event, revision: toEraRevision(event.revision, era) }
        )),
        at: toEraRevision(changes.at, era),
      }));
    },
    transact: async ({ expect, puts, removals }) => {
      if (expect.some(({ revision }) => isOutdated(revision))) {
        return fail('conflict', 'a condition is of an earlier era', 'transact');
      }
      const sentIn = eras.current();
      const storePuts: EntryWrite[] = [];
      for (const { lease, ...put } of puts) {
        const id = lease === undefined ? undefined : findLease(lease);
        if (lease !== undefined && id === undefined) {
          return fail('lease-ended', 'the lease is of an earlier era', 'transact');
        }
        storePuts.push(id === undefined ? put : { ...put, lease: id });
      }
      const { result, era, isSameEra } = await send('transact', 'unknown', (onEra) => (
        store.transact({
          expect: expect.map(({ key, revision }) => ({
            key, revision: revision === 0 ? 0 : toStoreRevision(revision, sentIn),
          })),
          puts: storePuts,
          ...(removals === undefined ? {} : { removals }),
        }, onEra)
      ));
      if (!isSameEra) return fail('unknown', 'the store was restored', 'transact');
      return result.map((revision) => toEraRevision(revision, era));
    },
    grantLease: async (ttlMs) => {
      const { result, era } = await send('lease', 'unknown', (onEra) => (
        store.grantLease(ttlMs, onEra)
      ));
      if (result.isErr() || !eras.isKnown()) return result;
      // Below zero, so that it differs from the numbers of a store that had no eras yet.
      lastLease -= 1;
      leases.set(lastLease, { id: result.value, era });
      return ok(lastLease);
    },
    renewLease: (lease) => callLease('renewLease', lease),
    revokeLease: (lease) => callLease('revokeLease', lease),
  };
};
