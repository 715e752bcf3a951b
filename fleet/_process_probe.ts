import type { Clock } from '../clock/mod.ts';
import type { InstanceClient } from '../gateway/mod.ts';

/** A process of the instance, and the only client that sends requests to it. */
export interface ProbedProcess {
  readonly client: InstanceClient;
  /** Start time of the process in ms since the Unix epoch. */
  readonly startedAt: number;
}

/** Finds out whether a process of the instance accepts connections, and whether it is at work. */
export interface ProcessProbe {
  /** Returns whether an address refuses connections; undefined while an earlier call runs. */
  readonly isRefused: (address: string) => Promise<boolean | undefined>;
  /**
   * Returns whether a process may be at work on a request of this node; without a process, whether
   * one may be to which only an earlier process of this node has sent requests.
   */
  readonly mayBeAtWork: (process?: ProbedProcess) => boolean;
  /** Keeps the client of a process that another one has replaced. */
  readonly addFormer: (client: InstanceClient) => void;
  /** Returns whether a process that was replaced may be at work on a request of this node. */
  readonly mayFormerBeAtWork: () => boolean;
}

/** Options for `createProcessProbe`. */
export interface ProcessProbeOptions {
  readonly clock: Clock;
  /** Reports whether the address refuses connections. */
  readonly isConnectionRefused: (address: string) => Promise<boolean>;
  /** Longest time in ms for which an instance works on a request, by the contract. */
  readonly longestWorkMs: () => number;
}

/** Delay before a refusal is confirmed, since a starting process may refuse one connection. */
const CONFIRM_DELAY_MS = 60;

/**
 * Creates a probe without former processes. An address that refuses connections shows only that no
 * process listens there: one that stops in order closes its listener and finishes its requests.
 * Only this node sends requests to the instance, so its clients know what may be unfinished.
 *
 * @param options Clock, check of an address, and longest time of a request.
 * @returns The probe.
 *
 * @example
 * const hasEnded = await probe.isRefused(address) === true && !probe.mayBeAtWork(process);
 */
export const createProcessProbe = (options: ProcessProbeOptions): ProcessProbe => {
  const { clock } = options;
  const createdAt = clock.now();
  const createdWallTime = clock.wallTime();
  let isProbing = false;
  let formers: readonly InstanceClient[] = [];

  const unfinishedFormers = () => formers.filter((client) => client.hasUnfinishedWork());

  return {
    isRefused: async (address) => {
      if (isProbing) return undefined;
      isProbing = true;
      try {
        const first = await options.isConnectionRefused(address);
        if (first) await clock.sleep(CONFIRM_DELAY_MS);
        return first && await options.isConnectionRefused(address);
      } finally {
        isProbing = false;
      }
    },
    mayBeAtWork: (probed) => {
      if (probed?.client.hasUnfinishedWork()) return true;
      if (probed !== undefined && probed.startedAt >= createdWallTime) return false;
      return clock.now() - createdAt < options.longestWorkMs();
    },
    addFormer: (client) => {
      formers = [...unfinishedFormers(), client];
    },
    mayFormerBeAtWork: () => {
      formers = unfinishedFormers();
      return formers.length > 0;
    },
  };
};
