import { request } from 'undici';
import * as z from 'zod';
import type { ViewHistory } from '../directory/mod.ts';
import type { EntryChanges } from '../store/mod.ts';

/** Path of the control message that asks a peer for changes of its view. */
export const CHANGES_PATH = 'changes';

/** Longest wait of a peer for a change in ms; one that is lost is noticed after this time. */
const WAIT_MS = 2000;
/** Time in ms for the way there and back. */
const SLACK_MS = 500;
const STATUS_OK = 200;

const changesSchema = z.object({
  at: z.number(),
  events: z.array(z.tuple([z.string(), z.number(), z.string().nullable()])),
});

/**
 * Writes changes as the text of a control message.
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

/** Asks a peer by HTTP for the changes of its view; undefined when it does not know them. */
export const askForChanges = async (
  address: string,
  after: number,
): Promise<EntryChanges | undefined> => {
  const query = `after=${after}&wait=${WAIT_MS}`;
  const { statusCode, body } = await request(
    `http://${address}/marjoramhollow/${CHANGES_PATH}?${query}`,
    { signal: AbortSignal.timeout(WAIT_MS + SLACK_MS) },
  );
  const text = await body.text();
  return statusCode === STATUS_OK ? decodeChanges(text) : undefined;
};

/** Answers a peer that asks for changes; undefined when they are not known here. */
export const tellChanges = async (
  history: ViewHistory,
  path: string,
): Promise<string | undefined> => {
  const query = new URLSearchParams(path.slice(path.indexOf('?') + 1));
  const after = Number(query.get('after') ?? Number.NaN);
  const waitMs = Number(query.get('wait') ?? Number.NaN);
  if (!Number.isFinite(after) || !Number.isFinite(waitMs)) return undefined;
  const changes = await history.changesAfter(after, Math.min(waitMs, WAIT_MS));
  return changes && encodeChanges(changes);
};
