import * as z from 'zod';

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
  readonly instance: DirectoryInstance | undefined;
}

const entrySchema = z.object({
  node: z.string().min(1),
  startedAt: z.number(),
  peerAddress: z.string().min(3),
  region: z.string(),
  failureDomain: z.string(),
  isStopping: z.boolean(),
  instance: z.object({
    instance: z.string().min(1),
    startedAt: z.number(),
    service: z.string().min(1),
    slots: z.int().min(1),
    state: z.enum(['ready', 'silent', 'draining', 'down']),
    coldUntil: z.number(),
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
  try {
    const parsed = entrySchema.safeParse(JSON.parse(text));
    return parsed.success ? { ...parsed.data, instance: parsed.data.instance } : undefined;
  } catch {
    return undefined;
  }
};
