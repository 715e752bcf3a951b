import type { Clock } from '../clock/mod.ts';

/** The link of a simulated host, shared by its connections. */
export interface SimulatedLink {
  /** Resolves once all bytes have arrived at the other end. */
  readonly transfer: (bytes: number) => Promise<void>;
}

const LATENCY_MS = 0.5;
/** Bytes of one connection that may wait at the link at a time. */
const WINDOW_BYTES = 65_536;
const BITS_PER_BYTE = 8;

/** Creates an idle link; transfers share it first come, first served, a window at a time. */
export const createSimulatedLink = (clock: Clock, megabitsPerSecond: number): SimulatedLink => {
  let freeAt = 0;
  return {
    transfer: async (bytes) => {
      for (let left = bytes; left > 0; left -= WINDOW_BYTES) {
        const part = Math.min(left, WINDOW_BYTES);
        freeAt = Math.max(freeAt, clock.now())
          + (part * BITS_PER_BYTE) / (megabitsPerSecond * 1000);
        await clock.sleep(freeAt - clock.now());
      }
      await clock.sleep(LATENCY_MS);
    },
  };
};
