import type { Clock } from '../clock/mod.ts';
import { decodeNodeEntry, type NodeEntry } from './node_entry.ts';
import { NODES_PREFIX } from './store_keys.ts';
import type { StoreView, ViewChange } from './store_view.ts';

/** The nodes of the fleet. There is no list of live ones: an entry can be missing or outdated. */
export interface FleetView {
  /** Entries in the store now, by node. */
  readonly present: () => ReadonlyMap<string, NodeEntry>;
  /** Also entries that vanished a short time ago, whose nodes may serve all the same. */
  readonly usable: () => readonly NodeEntry[];
  readonly find: (node: string) => NodeEntry | undefined;
  /** Calls back after each change of the entries. */
  readonly onChange: (listener: (change: ViewChange) => void) => void;
}

/** Options of a view. */
export interface FleetViewOptions {
  readonly clock: Clock;
  readonly view: StoreView;
  /** Told of entries that cannot be read. */
  readonly onUnreadable?: (key: string) => void;
}

interface Known {
  readonly entry: NodeEntry;
  /** Time in ms at which the entry vanished. */
  goneAt: number;
}

/**
 * The store may drop entries whose nodes serve, for example when their leases lapse in an outage.
 * Such nodes write their entries again within two seconds of its return.
 */
const VANISHED_USE_MS = 5000;
/** An owner's node is looked for longer, since its keys cannot be served elsewhere meanwhile. */
const VANISHED_KEEP_MS = 20_000;

/**
 * Creates the view of the fleet over a view of the store.
 *
 * @param options Clock and view of the store.
 * @returns The view.
 *
 * @example
 * const fleet = createFleetView({ clock, view });
 */
export const createFleetView = (options: FleetViewOptions): FleetView => {
  const { clock, view } = options;
  const known = new Map<string, Known>();
  const listeners: ((change: ViewChange) => void)[] = [];
  let present = new Map<string, NodeEntry>();

  const rebuild = () => {
    const next = new Map<string, NodeEntry>();
    for (const { key, value } of view.entries()) {
      if (!key.startsWith(NODES_PREFIX)) continue;
      const entry = decodeNodeEntry(value);
      if (entry === undefined) options.onUnreadable?.(key);
      else next.set(entry.node, entry);
    }
    const now = clock.now();
    for (const [node, one] of known) {
      if (next.has(node)) continue;
      if (one.goneAt === Infinity) one.goneAt = now;
      else if (now - one.goneAt > VANISHED_KEEP_MS) known.delete(node);
    }
    for (const [node, entry] of next) known.set(node, { entry, goneAt: Infinity });
    present = next;
  };

  view.onChange((change) => {
    const isOfNodes = change.gap || change.keys.some((key) => key.startsWith(NODES_PREFIX));
    if (!isOfNodes) return;
    rebuild();
    for (const listener of listeners) listener(change);
  });

  return {
    present: () => present,
    usable: () => {
      const now = clock.now();
      const usable: NodeEntry[] = [];
      for (const { entry, goneAt } of known.values()) {
        if (goneAt === Infinity || now - goneAt < VANISHED_USE_MS) usable.push(entry);
      }
      return usable;
    },
    find: (node) => known.get(node)?.entry,
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
};
