import * as z from 'zod';
import { KEY_PREFIX, type StoreView, type ViewHistory } from '../directory/mod.ts';
import { type EntryChanges, eraOfRevision } from '../store/mod.ts';
import { fetchFromPeer } from './_peer_messages.ts';

/** Path of the control request for the changes that a peer has seen in the store. */
export const CHANGES_PATH = 'changes';

/**
 * Maximum time in ms that a peer waits for a change; bounds the detection of a lost peer. It is
 * longer than the interval at which a relay brings its view up to date, so that each wait has one.
 */
const MAX_WAIT_MS = 1200;
/** Allowance in ms for the round trip, in addition to the wait. */
const ROUND_TRIP_ALLOWANCE_MS = 500;
const HTTP_OK = 200;
/** Far above the failure domains of any fleet. */
const MAX_EVACUATED = 1000;

/** The changes that a peer has seen, and the revision of the operator's newest change it knows. */
export interface PeerChanges extends EntryChanges {
  /** Store revision of the newest change by the operator, removals included; 0 if none is known. */
  readonly operatorRevision: number;
  /** Failure domains that are evacuated since then; undefined if the peer does not tell. */
  readonly evacuated?: readonly string[] | undefined;
}

const storeRevision = z.int().min(0);

const changesSchema = z.object({
  at: storeRevision,
  events: z.array(z.tuple([
    z.string().startsWith(KEY_PREFIX), storeRevision, z.string().nullable(),
  ])),
  current: z.boolean().default(false),
  contract: storeRevision.default(0),
  evacuated: z.array(z.string()).max(MAX_EVACUATED).optional(),
});

/** The answer of a peer whose history no longer reaches back to the revision that is asked for. */
const compactedSchema = z.object({ compacted: z.literal(true) });
const COMPACTED_TEXT = JSON.stringify({ compacted: true });

/**
 * Encodes changes as the JSON body of a control response.
 *
 * @example
 * const text = encodeChanges({ events: [], at: 17 });
 */
export const encodeChanges = (changes: PeerChanges): string => JSON.stringify({
  at: changes.at,
  events: changes.events.map((event) => (
    [event.key, event.revision, 'removed' in event ? null : event.value]
  )),
  current: changes.isCurrent === true,
  contract: changes.operatorRevision,
  // An answer that the follower rejects would end its use of the relay.
  evacuated: (changes.evacuated?.length ?? 0) > MAX_EVACUATED ? undefined : changes.evacuated,
});

/**
 * Decodes changes; `compacted` if the peer no longer has all of them, so that the store must be
 * listed.
 *
 * @throws {Error} when the text is malformed.
 */
export const decodeChanges = (text: string): PeerChanges | 'compacted' => {
  const json: unknown = JSON.parse(text);
  if (compactedSchema.safeParse(json).success) return 'compacted';
  const {
    at, events, current, contract, evacuated,
  } = changesSchema.parse(json);
  return {
    at,
    isCurrent: current,
    operatorRevision: contract,
    ...(evacuated === undefined ? {} : { evacuated }),
    events: events.map(([key, revision, value]) => (
      value === null ? { key, revision, removed: true } : { key, revision, value }
    )),
  };
};

/** Options of a request for changes. */
export interface FetchOptions {
  /** Uses a new connection and does not wait, since another peer has just failed to answer. */
  readonly isCatchingUp?: boolean;
}

/**
 * Requests the changes after a revision from a peer, by long polling over HTTP; `compacted` when
 * its history no longer reaches back to them, undefined when it does not follow the store.
 *
 * @param address Address of the peer's listener.
 * @param after Store revision up to which all changes are known.
 * @param options Whether to catch up.
 * @returns The changes; rejects if the peer does not answer in time.
 *
 * @example
 * const changes = await fetchPeerChanges('10.0.0.2:7000', 17);
 */
export const fetchPeerChanges = async (
  address: string,
  after: number,
  { isCatchingUp = false }: FetchOptions = {},
): Promise<PeerChanges | 'compacted' | undefined> => {
  const waitMs = isCatchingUp ? 0 : MAX_WAIT_MS;
  const era = eraOfRevision(after);
  const { status, text } = await fetchFromPeer(
    address,
    `${CHANGES_PATH}?after=${after}&wait=${waitMs}${era === 0 ? '' : `&era=${era}`}`,
    waitMs + ROUND_TRIP_ALLOWANCE_MS,
    { isOnNewConnection: isCatchingUp },
  );
  return status === HTTP_OK ? decodeChanges(text) : undefined;
};

/** What a node answers to the requests of its peers for changes. */
export interface ChangesSource {
  readonly history: ViewHistory;
  readonly view: Pick<StoreView, 'revision' | 'startCurrencyCheck'>;
  /** Store revision of the newest known change by the operator, removals included. */
  readonly operatorRevision: () => number;
  /** Evacuated failure domains in this node's view of the store. */
  readonly evacuated?: () => readonly string[];
}

/**
 * Encodes the response to a peer's request for changes; undefined if the request is malformed. A
 * peer that names an earlier era of the store only gets the revision of this node's view.
 */
export const serveChanges = async (
  {
    history, view, operatorRevision, evacuated,
  }: ChangesSource,
  path: string,
): Promise<string | undefined> => {
  const isCurrent = view.startCurrencyCheck();
  const query = new URLSearchParams(path.slice(path.indexOf('?') + 1));
  const after = Number(query.get('after') ?? Number.NaN);
  const waitMs = Number(query.get('wait') ?? Number.NaN);
  if (!Number.isFinite(after) || !Number.isFinite(waitMs)) return undefined;
  const isOutdated = () => (
    query.has('era') && eraOfRevision(after) < eraOfRevision(view.revision())
  );
  const changes = await history.changesAfter(after, Math.min(waitMs, MAX_WAIT_MS));
  if (changes === undefined) {
    return isOutdated()
      ? encodeChanges({ at: view.revision(), events: [], operatorRevision: operatorRevision() })
      : COMPACTED_TEXT;
  }
  // The view may have taken in further changes since these were chosen.
  const isComplete = changes.at >= view.revision();
  return encodeChanges({
    ...changes,
    isCurrent: isComplete && isCurrent(),
    operatorRevision: operatorRevision(),
    evacuated: evacuated?.(),
  });
};
