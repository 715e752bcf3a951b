import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import { type EntryChange, type Store, updateEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { MemberTable } from './_member_table.ts';

/** The directory of node addresses in the store, with one entry per region, for joins. */
export interface NodeDirectory {
  /** Reads the control addresses of the nodes of all regions; empty if the store read fails. */
  readonly addresses: () => Promise<readonly string[]>;
  /** Adds this node and the known members of its region; retries until it succeeds. */
  readonly register: (signal: AbortSignal) => Promise<void>;
  /** Removes this node from the directory. */
  readonly deregister: () => Promise<void>;
}

/** Options for `createNodeDirectory`. */
export interface NodeDirectoryOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly logger: Logger;
  readonly table: MemberTable;
  readonly random: () => number;
}

const directorySchema = z.object({
  writer: z.string(),
  nodes: z.record(z.string(), z.object({ incarnation: z.string(), controlAddress: z.string() })),
});

type DirectoryEntry = z.infer<typeof directorySchema>;

const PREFIX = 'nodes/';
// Nodes that start at the same time register after a random delay, so that the first one also
// registers the others.
const MAX_REGISTRATION_DELAY_MS = 5000;
const MAX_REGISTRATION_BACKOFF_MS = 60_000;

const parseEntry = (value: string): DirectoryEntry => {
  try {
    return directorySchema.parse(JSON.parse(value));
  } catch {
    return { writer: '', nodes: {} };
  }
};

/** Creates the directory client of a node. */
export const createNodeDirectory = (options: NodeDirectoryOptions): NodeDirectory => {
  const {
    clock, store, logger, table, random,
  } = options;
  const { node, incarnation, region } = table.self();
  const key = `${PREFIX}${region}`;
  let writes = 0;

  const update = (change: EntryChange) => {
    writes += 1;
    return updateEntry(store, key, change, {
      clock, random, writer: `${node}#${incarnation}/directory/${writes}`,
    });
  };

  const isListed = (nodes: DirectoryEntry['nodes'], member: MemberUpdate) => (
    nodes[member.node]?.incarnation === member.incarnation
    && nodes[member.node]?.controlAddress === member.controlAddress
  );

  const addMembers: EntryChange = (current, writer) => {
    const { nodes } = parseEntry(current?.value ?? '');
    const members = table.reachable().filter((member) => member.region === region);
    if (isListed(nodes, table.self())) return undefined;
    const isGone = (name: string) => (
      [MemberState.MEMBER_STATE_DEAD, MemberState.MEMBER_STATE_LEFT]
        .includes(table.get(name)?.state ?? MemberState.MEMBER_STATE_ALIVE)
    );
    const kept = Object.entries(nodes).filter(([name]) => !isGone(name));
    const added = members.map((member) => [member.node, {
      incarnation: member.incarnation, controlAddress: member.controlAddress,
    }]);
    return JSON.stringify({ writer, nodes: Object.fromEntries([...kept, ...added]) });
  };

  const removeSelf: EntryChange = (current, writer) => {
    const { nodes } = parseEntry(current?.value ?? '');
    if (nodes[node]?.incarnation !== incarnation) return undefined;
    const kept = Object.entries(nodes).filter(([name]) => name !== node);
    return JSON.stringify({ writer, nodes: Object.fromEntries(kept) });
  };

  return {
    addresses: async () => {
      const listed = await store.list(PREFIX);
      if (listed.isErr()) {
        const { step, peer, message } = listed.error;
        logger.warn({ step, peer }, `failed to read the node directory: ${message}`);
        return [];
      }
      return listed.value.flatMap(({ value }) => (
        Object.values(parseEntry(value).nodes).map(({ controlAddress }) => controlAddress)
      ));
    },
    register: async (signal) => {
      await clock.sleep(MAX_REGISTRATION_DELAY_MS * random(), signal);
      for (let backoffMs = 1000; !signal.aborted; backoffMs *= 2) {
        const outcome = await update(addMembers);
        if (outcome.isOk()) return;
        const { step, peer, message } = outcome.error;
        logger.warn({ step, peer }, `failed to register in the node directory: ${message}`);
        await clock.sleep(
          Math.min(MAX_REGISTRATION_BACKOFF_MS, backoffMs) * (0.5 + random()),
          signal,
        );
      }
    },
    deregister: async () => {
      const outcome = await update(removeSelf);
      if (outcome.isOk()) return;
      const { step, peer, message } = outcome.error;
      logger.warn({ step, peer }, `failed to deregister from the node directory: ${message}`);
    },
  };
};
