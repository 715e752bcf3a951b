import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import { type EntryChange, type Store, updateEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { MemberTable } from './_member_table.ts';

/** The directory of nodes in the store, one entry per region. */
export interface Directory {
  /** Control addresses of all regions; empty when the store does not respond. */
  readonly addresses: () => Promise<readonly string[]>;
  /** Writes this node, and the members of its region that are missing, until it succeeds. */
  readonly enter: (signal: AbortSignal) => Promise<void>;
  /** Removes this node. */
  readonly remove: () => Promise<void>;
}

/** What the directory needs. */
export interface DirectoryOptions {
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
// Nodes that start together enter at different times, so that the first one enters the others, too.
const MAX_ENTER_DELAY_MS = 5000;
const MAX_ENTER_BACKOFF_MS = 60_000;

const parseEntry = (value: string): DirectoryEntry => {
  try {
    return directorySchema.parse(JSON.parse(value));
  } catch {
    return { writer: '', nodes: {} };
  }
};

export const createDirectory = (options: DirectoryOptions): Directory => {
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
        logger.warn({ step, peer }, `cannot read the directory of nodes: ${message}`);
        return [];
      }
      return listed.value.flatMap(({ value }) => (
        Object.values(parseEntry(value).nodes).map(({ controlAddress }) => controlAddress)
      ));
    },
    enter: async (signal) => {
      await clock.sleep(MAX_ENTER_DELAY_MS * random(), signal);
      for (let backoffMs = 1000; !signal.aborted; backoffMs *= 2) {
        const outcome = await update(addMembers);
        if (outcome.isOk()) return;
        const { step, peer, message } = outcome.error;
        logger.warn({ step, peer }, `cannot enter the directory of nodes yet: ${message}`);
        await clock.sleep(Math.min(MAX_ENTER_BACKOFF_MS, backoffMs) * (0.5 + random()), signal);
      }
    },
    remove: async () => {
      const outcome = await update(removeSelf);
      if (outcome.isOk()) return;
      const { step, peer, message } = outcome.error;
      logger.warn({ step, peer }, `cannot leave the directory of nodes: ${message}`);
    },
  };
};
