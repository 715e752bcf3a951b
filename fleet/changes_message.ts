import * as z from 'zod';
import type { ViewHistory } from '../directory/mod.ts';
import type { EntryChanges } from '../store/mod.ts';
import { fetchFromPeer } from './_peer_messages.ts';

/** Path of the control request for the changes that a peer has seen in the store. */
export const CHANGES_PATH = 'changes';

/** Maximum time in ms that a peer waits for a change; bounds the detection of a lost peer. */
const MAX_WAIT_MS = 2000;
/** Allowance in ms for the round trip, in addition to the wait. */
const ROUND_TRIP_ALLOWANCE_MS = 500;
const HTTP_OK = 200;

const changesSchema = z.object({
  at: z.number(),
  events: z.array(z.tuple([z.string(), z.number(), z.string().nullable()])),
});

/**
 * Encodes changes as the JSON body of a control response.
 *
 * @example
 * const text = encodeChanges({ events: [], at: 17 });
 */
export const encodeChanges = ({ events, at }: EntryChanges): string => JSON.stringify({
  at,
  events: events.map((event) => (
    [event.key, event.revision, 'removed' in event ? null : event.value]
  )),
});

const decodeChanges = (text: string): EntryChanges => {
  const { at, events } = changesSchema.parse(JSON.parse(text));
  return {
    at,
    events: events.map(([key, revision, value]) => (
      value === null ? { key, revision, removed: true } : { key, revision, value }
    )),
  };
};

/**
 * Requests the changes after a revision from a peer, by long polling over HTTP; undefined when the
 * peer does not have them.
 */
export const fetchPeerChanges = async (
  address: string,
  after: number,
): Promise<EntryChanges | undefined> => {
  const query = `after=${after}&wait=${MAX_WAIT_MS}`;
  const { status, text } = await fetchFromPeer(
    address,
    `${CHANGES_PATH}?${query}`,
    MAX_WAIT_MS + ROUND_TRIP_ALLOWANCE_MS,
  );
  return status === HTTP_OK ? decodeChanges(text) : undefined;
};

/** Encodes the response to a peer's request for changes; undefined when they are not available. */
export const serveChanges = async (
  history: ViewHistory,
  path: string,
): Promise<string | undefined> => {
  const query = new URLSearchParams(path.slice(path.indexOf('?') + 1));
  const after = Number(query.get('after') ?? Number.NaN);
  const waitMs = Number(query.get('wait') ?? Number.NaN);
  if (!Number.isFinite(after) || !Number.isFinite(waitMs)) return undefined;
  const changes = await history.changesAfter(after, Math.min(waitMs, MAX_WAIT_MS));
  return changes && encodeChanges(changes);
};
