import type { Clock } from '../clock/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import { decodeNodeEntry, type NodeEntry } from './node_entry.ts';
import { nodeKey, NODES_PREFIX } from './store_keys.ts';
import type { StoreView, ViewChange } from './store_view.ts';

/**
 * The nodes of the fleet. It doesn't tell which nodes are alive: the entry of a live node can be
 * missing, and the entry of a dead one can remain.
 */
export interface FleetView {
  /** Returns the entries that are in the store now, by node. */
  readonly present: () => ReadonlyMap<string, NodeEntry>;
  /**
   * Returns the present entries and those that went missing within the last 5 s, whose nodes may
   * still be serving.
   */
  readonly usable: () => readonly NodeEntry[];
  /** Returns the present entries and those that went missing within at least the last 20 s. */
  readonly known: () => readonly NodeEntry[];
  /** Returns the last known entry of a node, for at least 20 s after the entry went missing. */
  readonly find: (node: string) => NodeEntry | undefined;
  /** Returns the number of stored entries that cannot be used, as another writer left them. */
  readonly unusableCount: () => number;
  /** Adds a listener that is called after each change of the entries. */
  readonly onChange: (listener: (change: ViewChange) => void) => void;
}

/** Options for `createFleetView`. */
export interface FleetViewOptions {
  readonly clock: Clock;
  readonly view: StoreView;
  /** Called with the key of each entry that cannot be decoded, once per revision. */
  readonly onUnreadable?: (key: string) => void;
}

interface KnownNode {
  readonly entry: NodeEntry;
  /** Monotonic time in ms at which the entry went missing; `Infinity` while it is present. */
  missingAtMs: number;
}

/** A store entry is decoded once per revision, since each change of the view lists all of them. */
interface DecodedEntry {
  readonly revision: number;
  /** `undefined` if the value is not a valid entry. */
  readonly entry: NodeEntry | undefined;
}

/**
 * The store may drop the entries of nodes that are serving, for example when their leases expire
 * during a store outage. Such nodes rewrite their entries within 2 s of the store's recovery.
 */
const MISSING_NODE_USE_MS = 5000;
/** The node of a key owner is looked up for longer, because no other node can serve its keys. */
const MISSING_NODE_RETENTION_MS = 20_000;

/**
 * Creates a view of the fleet that decodes the node entries of a store view.
 *
 * @param options The clock and the store view.
 * @returns The fleet view, which is updated whenever the store view changes.
 *
 * @example
 * const fleet = createFleetView({ clock, view });
 */
export const createFleetView = (options: FleetViewOptions): FleetView => {
  const { clock, view } = options;
  const known = new Map<string, KnownNode>();
  const listeners: ((change: ViewChange) => void)[] = [];
  let present = new Map<string, NodeEntry>();
  let decodedByKey = new Map<string, DecodedEntry>();
  let unusable = 0;

  const decode = (stored: StoreEntry): DecodedEntry => {
    const { key, revision } = stored;
    const before = decodedByKey.get(key);
    if (before?.revision === revision) return before;
    const decoded = decodeNodeEntry(stored.value);
    // An entry under another key would replace that of the node that it names.
    const entry = decoded !== undefined && nodeKey(decoded.node) === key ? decoded : undefined;
    if (entry === undefined) options.onUnreadable?.(key);
    return { revision, entry };
  };

  const rebuild = () => {
    const next = new Map<string, NodeEntry>();
    const decoded = new Map<string, DecodedEntry>();
    for (const stored of view.entries()) {
      if (!stored.key.startsWith(NODES_PREFIX)) continue;
      const result = decode(stored);
      decoded.set(stored.key, result);
      if (result.entry !== undefined) next.set(result.entry.node, result.entry);
    }
    decodedByKey = decoded;
    unusable = decoded.size - next.size;
    const now = clock.now();
    for (const [node, knownNode] of known) {
      if (next.has(node)) continue;
      if (knownNode.missingAtMs === Infinity) knownNode.missingAtMs = now;
      else if (now - knownNode.missingAtMs > MISSING_NODE_RETENTION_MS) known.delete(node);
    }
    for (const [node, entry] of next) known.set(node, { entry, missingAtMs: Infinity });
    present = next;
  };

  view.onChange((change) => {
    const affectsNodes = change.mayMissChanges
      || change.keys.some((key) => key.startsWith(NODES_PREFIX));
    if (!affectsNodes) return;
    rebuild();
    for (const listener of listeners) listener(change);
  });

  return {
    present: () => present,
    usable: () => {
      const now = clock.now();
      const usable: NodeEntry[] = [];
      for (const { entry, missingAtMs } of known.values()) {
        if (missingAtMs === Infinity || now - missingAtMs < MISSING_NODE_USE_MS) usable.push(entry);
      }
      return usable;
    },
    known: () => [...known.values()].map(({ entry }) => entry),
    find: (node) => known.get(node)?.entry,
    unusableCount: () => unusable,
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
};
