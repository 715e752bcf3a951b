import {
  type AddressInfo, connect, createServer, type Socket,
} from 'node:net';

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  /** Monotonic time in ms at which bytes last passed. */
  lastAt: number;
  /** A call of the node has been sent and not been answered. */
  isWaiting: boolean;
  isSilent: boolean;
}

/** A proxy in front of the store, through which all calls of the nodes pass. */
export interface StoreProxy {
  readonly address: string;
  /**
   * Makes the open connections on which a call has waited for this time silent for good: no further
   * byte passes, and neither side sees a close. Returns how many are silent and open.
   */
  readonly silence: (minWaitMs: number) => { readonly silent: number; readonly open: number };
  readonly close: () => void;
}

/** Starts a proxy on a free port of an address. */
export const startStoreProxy = async (ip: string, target: string): Promise<StoreProxy> => {
  const [host = '', port = ''] = target.split(':');
  const links = new Set<Link>();
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    const link: Link = {
      near, far, lastAt: performance.now(), isWaiting: false, isSilent: false,
    };
    links.add(link);
    const pass = (to: Socket) => (chunk: Buffer) => {
      if (link.isSilent) return;
      link.isWaiting = to === far;
      link.lastAt = performance.now();
      to.write(chunk);
    };
    const end = () => {
      if (link.isSilent) return;
      links.delete(link);
      near.destroy();
      far.destroy();
    };
    near.on('data', pass(far));
    far.on('data', pass(near));
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', end);
      socket.on('close', end);
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, ip, resolve);
  });
  return {
    address: `${ip}:${(server.address() as AddressInfo).port}`,
    silence: (minWaitMs) => {
      let silent = 0;
      for (const link of links) {
        if (!link.isWaiting || performance.now() - link.lastAt < minWaitMs) continue;
        link.isSilent = true;
        silent += 1;
      }
      return { silent, open: links.size };
    },
    close: () => {
      server.close();
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
    },
  };
};
