import * as z from 'zod';

/**
 * State of an instance as its node sees it. `silent`: it runs requests, but its announcements do
 * not arrive, so it can be granted no keys.
 */
export type InstanceState = 'ready' | 'silent' | 'draining' | 'down';

/** The instance on a node's host. */
export interface DirectoryInstance {
  readonly instance: string;
  /** Start of the instance's process in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly service: string;
  /** Requests that the instance runs at a time. */
  readonly slots: number;
  readonly state: InstanceState;
  /** Wall-clock time in ms until which the instance is slow after its start. */
  readonly coldUntil: number;
}

/** What a node tells the fleet about itself. */
export interface NodeEntry {
  readonly node: string;
  /** Start of the node's process in ms since the Unix epoch. */
  readonly startedAt: number;
  readonly peerAddress: string;
  readonly region: string;
  readonly failureDomain: string;
  /** The node is about to stop and wants no new work. */
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
 * @param text The stored text.
 * @returns The entry, or undefined when the text is not one.
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
