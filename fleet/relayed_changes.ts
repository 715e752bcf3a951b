import { err, ok } from 'neverthrow';
import { request } from 'undici';
import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import type { NodeEntry, ViewHistory } from '../directory/mod.ts';
import { StoreError } from '../errors/mod.ts';
import type { EntryChanges, LeasedStore } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Path of a control message that asks a peer for changes of its view. */
export const CHANGES_PATH = 'changes';

/** Options of relayed changes. */
export interface RelayedChangesOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly failureDomain: string;
  /** Entries of the fleet, as far as they are known. */
  readonly entries: () => Iterable<NodeEntry>;
  readonly direct: LeasedStore['changes'];
  /** Asks a peer; undefined when it cannot tell. */
  readonly ask: (address: string, after: number) => Promise<EntryChanges | undefined>;
  readonly logger: Logger;
}

/** Up to this many nodes in a failure domain, each one watches the store itself. */
const MAX_DIRECT_NODES = 8;
/** Nodes of a failure domain that watch the store for the others; one may be lost. */
const RELAYS = 2;
/** A relay that did not answer is left alone for this time in ms. */
const RELAY_PAUSE_MS = 5000;
/** A relay that is lost is noticed after this time in ms. */
const RELAY_WAIT_MS = 2000;
const RELAY_SLACK_MS = 500;
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
  const query = `after=${after}&wait=${RELAY_WAIT_MS}`;
  const { statusCode, body } = await request(
    `http://${address}/marjoramhollow/${CHANGES_PATH}?${query}`,
    { signal: AbortSignal.timeout(RELAY_WAIT_MS + RELAY_SLACK_MS) },
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
  const changes = await history.changesAfter(after, Math.min(waitMs, RELAY_WAIT_MS));
  return changes && encodeChanges(changes);
};

/**
 * Creates the watch of a node in a large failure domain: a few nodes watch the store, and the
 * others ask them. A watch is paid for by each node at each change, so that without relays the
 * calls to the store would grow with changes times nodes.
 *
 * @param options Clock, this node, the fleet, the store's own watch and the call to a peer.
 * @returns The watch; it goes to the store whenever no relay answers.
 *
 * @example
 * const view = createStoreView({ ...options, watch: createRelayedChanges(relayOptions) });
 */
export const createRelayedChanges = (
  options: RelayedChangesOptions,
): LeasedStore['changes'] => {
  const { clock, node, direct } = options;
  const logger = options.logger.forPart('relay');
  const pausedUntil = new Map<string, number>();

  const relaysOf = (): readonly NodeEntry[] => {
    const near = [...options.entries()]
      .filter(({ failureDomain, isStopping }) => (
        failureDomain === options.failureDomain && !isStopping
      ))
      .sort((left, right) => (left.node < right.node ? -1 : 1));
    if (near.length <= MAX_DIRECT_NODES) return [];
    const relays = near.slice(0, RELAYS);
    if (relays.some((relay) => relay.node === node)) return [];
    // Half of the nodes begin with each relay.
    return near.findIndex((one) => one.node === node) % 2 === 0 ? relays : [...relays].reverse();
  };

  return async (prefix, after, wait) => {
    for (const relay of relaysOf()) {
      if ((pausedUntil.get(relay.node) ?? -Infinity) > clock.now()) continue;
      let reason = 'it does not know the changes';
      try {
        const changes = await options.ask(relay.peerAddress, after);
        if (changes !== undefined) return ok(changes);
      } catch (error) {
        reason = String(error);
      }
      if (wait.signal?.aborted) {
        return err(new StoreError('unavailable', 'the watch was ended', {
          step: 'relay.watch', peer: relay.node,
        }));
      }
      pausedUntil.set(relay.node, clock.now() + RELAY_PAUSE_MS);
      logger.warn({ peer: relay.node, after, reason }, 'a relay of the store does not answer');
    }
    return direct(prefix, after, wait);
  };
};
