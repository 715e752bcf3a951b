import type { History, HistoryEvent } from './history.ts';

/** Tracks which nodes, links and stores are faulty from the events of a history. */
export interface FaultTracker {
  readonly observe: (event: HistoryEvent) => void;
  /** Time in ms since which the node runs with no link cut; `undefined` while it does not. */
  readonly connectedSince: (node: string) => number | undefined;
  /** Time in ms since which the store works; `undefined` while it is faulty. */
  readonly storeWorkingSince: () => number | undefined;
  readonly nodes: () => readonly string[];
}

/** Creates a tracker that has observed no events. */
export const createFaultTracker = (): FaultTracker => {
  const hosts = new Map<string, { running: boolean; sinceMs: number }>();
  const cuts = new Set<string>();
  const linksSince = new Map<string, number>();
  let storeFaults = 0;
  let storeSinceMs = 0;

  return {
    observe: (event) => {
      if (event.kind === 'host') {
        const running = event.state === 'started' || event.state === 'resumed';
        hosts.set(event.node, { running, sinceMs: event.at });
      } else if (event.kind === 'link') {
        const { from, to } = event;
        if (event.cut) cuts.add(`${from} ${to}`);
        else cuts.delete(`${from} ${to}`);
        linksSince.set(from, event.at);
        linksSince.set(to, event.at);
      } else if (event.kind === 'store') {
        storeFaults += event.faulty ? 1 : -1;
        storeSinceMs = event.at;
      }
    },
    connectedSince: (node) => {
      const host = hosts.get(node);
      const isCut = [...cuts].some((link) => link.split(' ').includes(node));
      if (!host?.running || isCut) return undefined;
      return Math.max(host.sinceMs, linksSince.get(node) ?? 0);
    },
    storeWorkingSince: () => (storeFaults > 0 ? undefined : storeSinceMs),
    nodes: () => [...hosts.keys()],
  };
};

/** Time in ms at which a history ends. */
export const endOf = (history: History): number => history.at(-1)?.at ?? 0;
