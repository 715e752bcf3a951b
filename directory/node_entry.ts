import * as z from 'zod';
import { isAddress } from '../http/mod.ts';

/**
 * State of an instance as observed by its node. A `silent` instance runs requests, but its
 * announcements don't arrive, so it cannot be granted any keys.
 */
export type InstanceState = 'ready' | 'silent' | 'draining' | 'down';

/** The instance that runs on the host of a node. */
export interface DirectoryInstance {
  readonly instance: string;
  /** Start time of the instance's process in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly service: string;
  /** Maximum number of requests that the instance runs concurrently. */
  readonly slots: number;
  readonly state: InstanceState;
  /** Wall-clock time in ms at which the warm-up of the instance ends; it is slow before. */
  readonly coldUntil: number;
}

/** What a node did after the store was restored from an older copy. */
export interface StoreEraState {
  /** Newest era of the store to which the node has brought all range records that it knew. */
  readonly contributed: number;
  /** True if the node has kept a valid right to grant, and what it knew, from the era before. */
  readonly isTrusted: boolean;
}

/** The entry that a node publishes about itself in the store. */
export interface NodeEntry {
  readonly node: string;
  /** Start time of the node's process in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  /** True while the node is shutting down; it should get no new requests. */
  readonly isStopping: boolean;
  /**
   * Time in ms since the Unix epoch at which this process, or one of the host shortly before it,
   * last got the signal to stop.
   */
  readonly signalledAt?: number | undefined;
  readonly instance: DirectoryInstance | undefined;
  /** Absent as long as the store has not been restored since the node started. */
  readonly storeEra?: StoreEraState | undefined;
}

/** Longest entry in characters; another writer may leave a value as large as the store takes. */
export const MAX_ENTRY_LENGTH = 8192;
/** Longest name of a node, an instance, a service or a location. */
const MAX_NAME_LENGTH = 200;
/** Far above the slots of any host; a larger number would draw all requests to its sender. */
export const MAX_SLOTS = 10_000;
/** The largest time that a `Date` can represent, in ms since the Unix epoch. */
const MAX_WALL_TIME = 8.64e15;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const wallTime = z.number().min(0).max(MAX_WALL_TIME);

const entrySchema = z.object({
  node: name,
  startedAt: wallTime,
  peerAddress: z.string().refine(isAddress),
  region: z.string().max(MAX_NAME_LENGTH),
  failureDomain: z.string().max(MAX_NAME_LENGTH),
  isStopping: z.boolean(),
  signalledAt: wallTime.optional(),
  storeEra: z.object({ contributed: z.int().min(0), isTrusted: z.boolean() }).optional(),
  instance: z.object({
    instance: name,
    startedAt: wallTime,
    service: name,
    slots: z.int().min(1).max(MAX_SLOTS),
    state: z.enum(['ready', 'silent', 'draining', 'down']),
    coldUntil: wallTime,
  }).optional(),
});

/**
 * Decodes the entry of a node.
 *
 * @param text The value stored under the key of the node, as JSON.
 * @returns The entry, or `undefined` if the text is not a valid entry.
 *
 * @example
 * const entry = decodeNodeEntry(stored.value);
 */
export const decodeNodeEntry = (text: string): NodeEntry | undefined => {
  if (text.length > MAX_ENTRY_LENGTH) return undefined;
  try {
    const parsed = entrySchema.safeParse(JSON.parse(text));
    return parsed.success ? { ...parsed.data, instance: parsed.data.instance } : undefined;
  } catch {
    return undefined;
  }
};
