import type { Clock } from '../clock/mod.ts';

/**
 * Decides which peers are suspected of having failed. A suspicion ends after some time, or with the
 * proof that it is wrong.
 */
export interface FailureDetector {
  /** Records that bytes from the peer have arrived. */
  readonly recordContact: (peer: string) => void;
  /**
   * Records that an attempt has got nothing from the peer since the given time, monotonic in ms.
   * The connection of the attempt has failed, not the peer, if others have brought something since.
   *
   * @returns Whether the peer has become suspect.
   */
  readonly recordSilence: (peer: string, since: number) => boolean;
  /**
   * Records that the peer accepts no requests: it refuses connections or is stopping. Responses to
   * earlier requests may still arrive, so that only a new process ends the suspicion early.
   *
   * @returns Whether the peer has become suspect.
   */
  readonly recordClosed: (peer: string) => boolean;
  readonly isSuspect: (peer: string) => boolean;
  /**
   * Forgets all peers that are not in `peers`, which has the start time of the process that serves
   * as each peer, from the directory. A new process ends the suspicion of its predecessor.
   */
  readonly retain: (peers: ReadonlyMap<string, number>) => void;
}

interface PeerState {
  /** Undefined until the directory has named the process. */
  readonly startedAt: number | undefined;
  contactAt: number;
  silentUntil: number;
  closedUntil: number;
}

/** Time for which a suspect peer gets no requests. */
const SUSPICION_MS = 1200;

const createState = (startedAt: number | undefined): PeerState => ({
  startedAt, contactAt: -Infinity, silentUntil: -Infinity, closedUntil: -Infinity,
});

/**
 * Creates a failure detector without suspicions.
 *
 * @param clock Clock for the ages of failures and contacts.
 * @returns The detector.
 *
 * @example
 * if (detector.recordSilence(address, sentAt)) logger.warn({ peer: address }, 'suspected');
 */
export const createFailureDetector = (clock: Clock): FailureDetector => {
  const peers = new Map<string, PeerState>();

  const stateOf = (peer: string): PeerState => {
    const known = peers.get(peer);
    if (known !== undefined) return known;
    const state = createState(undefined);
    peers.set(peer, state);
    return state;
  };

  const isSuspect = (peer: string) => {
    const state = peers.get(peer);
    return state !== undefined && Math.max(state.silentUntil, state.closedUntil) > clock.now();
  };

  return {
    recordContact: (peer) => {
      const state = stateOf(peer);
      state.contactAt = clock.now();
      state.silentUntil = -Infinity;
    },
    recordSilence: (peer, since) => {
      const state = stateOf(peer);
      if (state.contactAt > since) return false;
      const wasSuspect = isSuspect(peer);
      state.silentUntil = clock.now() + SUSPICION_MS;
      return !wasSuspect;
    },
    recordClosed: (peer) => {
      const wasSuspect = isSuspect(peer);
      stateOf(peer).closedUntil = clock.now() + SUSPICION_MS;
      return !wasSuspect;
    },
    isSuspect,
    retain: (retained) => {
      for (const peer of [...peers.keys()]) if (!retained.has(peer)) peers.delete(peer);
      for (const [peer, startedAt] of retained) {
        const known = peers.get(peer);
        if (known?.startedAt !== startedAt) peers.set(peer, createState(startedAt));
      }
    },
  };
};
