import type { Fault, FaultKind } from './_faults.ts';
import { type HistoryCluster as Cluster, STORE } from './_history_cluster.ts';

const SLOW_STORE_MS = 400;
const USUAL_STORE_MS = 2;
const REPLIES_LOST = 2;

const isolate = (cluster: Cluster, nodes: readonly string[], { node }: Fault, cut: boolean) => {
  cluster.setCut(node, STORE, cut);
  for (const other of nodes) {
    if (other === node) continue;
    cluster.setCut(node, other, cut);
    cluster.setCut(other, node, cut);
  }
};

type Begin = (cluster: Cluster, fault: Fault, nodes: readonly string[]) => () => void;

const disturbStore = (cluster: Cluster, set: (disturbed: boolean) => void) => {
  cluster.record('store', { disturbed: true });
  set(true);
  return () => {
    set(false);
    cluster.record('store', { disturbed: false });
  };
};

/** Begins a fault of each kind; the returned function ends it. */
export const faultEffects: Readonly<Record<FaultKind, Begin>> = {
  'cut one way': (cluster, { node, other }) => {
    cluster.setCut(node, other, true);
    return () => cluster.setCut(node, other, false);
  },
  'cut two ways': (cluster, { node, other }) => {
    cluster.setCut(node, other, true);
    cluster.setCut(other, node, true);
    return () => {
      cluster.setCut(node, other, false);
      cluster.setCut(other, node, false);
    };
  },
  'cut from store': (cluster, { node }) => {
    cluster.setCut(node, STORE, true);
    return () => cluster.setCut(node, STORE, false);
  },
  isolate: (cluster, fault, nodes) => {
    isolate(cluster, nodes, fault, true);
    return () => isolate(cluster, nodes, fault, false);
  },
  pause: (cluster, { node }) => {
    cluster.pause(node);
    return () => cluster.resume(node);
  },
  'freeze upstream': (cluster, { node }) => {
    const clock = cluster.upstreamClock(node);
    clock.pause();
    return () => {
      if (!cluster.isPaused(node)) clock.resume();
    };
  },
  kill: (cluster, { node }) => {
    cluster.kill(node);
    return () => cluster.restart(node);
  },
  'planned stop': (cluster, { node }) => {
    const stopping = cluster.stop(node);
    return () => {
      stopping.then(() => cluster.restart(node));
    };
  },
  'store slow': (cluster) => disturbStore(cluster, (disturbed) => {
    cluster.store.setDelay(disturbed ? SLOW_STORE_MS : USUAL_STORE_MS);
  }),
  'store down': (cluster) => disturbStore(cluster, cluster.store.setDown),
  'reply lost': (cluster) => disturbStore(cluster, (disturbed) => {
    cluster.store.loseReplies(disturbed ? REPLIES_LOST : 0);
  }),
};
