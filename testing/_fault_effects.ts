import type { Fault, FaultKind } from './_faults.ts';
import { type SimulatedCluster as Cluster, STORE } from './_simulated_cluster.ts';

const SLOW_STORE_DELAY_MS = 400;
const NORMAL_STORE_DELAY_MS = 2;
const LOST_REPLIES = 2;

const isolate = (cluster: Cluster, nodes: readonly string[], { node }: Fault, cut: boolean) => {
  cluster.setCut(node, STORE, cut);
  for (const other of nodes) {
    if (other === node) continue;
    cluster.setCut(node, other, cut);
    cluster.setCut(other, node, cut);
  }
};

type StartFault = (cluster: Cluster, fault: Fault, nodes: readonly string[]) => () => void;

const startStoreFault = (cluster: Cluster, set: (faulty: boolean) => void) => {
  cluster.record('store', { faulty: true });
  set(true);
  return () => {
    set(false);
    cluster.record('store', { faulty: false });
  };
};

/** Starts a fault of each kind; the returned function ends the fault. */
export const faultEffects: Readonly<Record<FaultKind, StartFault>> = {
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
  'store slow': (cluster) => startStoreFault(cluster, (faulty) => {
    cluster.store.setDelay(faulty ? SLOW_STORE_DELAY_MS : NORMAL_STORE_DELAY_MS);
  }),
  'store down': (cluster) => startStoreFault(cluster, cluster.store.setDown),
  'reply lost': (cluster) => startStoreFault(cluster, (faulty) => {
    cluster.store.loseReplies(faulty ? LOST_REPLIES : 0);
  }),
};
