import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { createResponseTimes, type ResponseTimes, WINDOW_MS } from './_response_times.ts';

/** Watches one request at the instance. */
export interface ResponseWatch {
  /** Time in ms without a head after which to ask `isSilent`; Infinity while it is not known. */
  readonly timeoutMs: number;
  /** Called when the request is written. */
  readonly start: () => void;
  /** Called with the status when the head of the final response arrives. */
  readonly recordHead: (status: number) => void;
  /**
   * Returns whether the connection has gone silent, and learns from it if so. A response may still
   * arrive, as one run can be far longer than the others; it proves the verdict wrong.
   */
  readonly isSilent: () => boolean;
  /** Called once the request has ended in any way. */
  readonly end: () => void;
}

/** Tells connections on which the instance never answers from long runs. */
export interface ResponseSilence {
  /** Watches a request whose response is of no use after a time, at which its work ends too. */
  readonly watch: (workClass: string, deadlineAt: number) => ResponseWatch;
  /** Returns how many of the announced slots the instance accepts, as far as was learned. */
  readonly acceptedSlots: (announced: number) => number;
  /**
   * Returns the time in ms for which the instance may still be at work on a request whose caller
   * has left; 0 while no connection of this process has been silent, as one too many does no harm.
   */
  readonly leftWorkMs: (workClass: string, ranMs: number) => number;
  /** Number of connections that were found silent. */
  readonly silentCount: () => number;
  /** Forgets what was learned, as another process of the instance has started. */
  readonly reset: () => void;
}

/** Options of the detector. */
export interface ResponseSilenceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** A run of this many times the longest of a minute is far beyond the processing times. */
const LONGEST_FACTOR = 2;
/** Requests of the class that were sent later and answered; an instance that stalls ends none. */
const MIN_LATER_HEADS = 10;
/** Far above the work classes of a contract. */
const MAX_CLASSES = 200;
const FIRST_SERVER_ERROR = 500;
/** One silent connection may have another cause, so the limit is learned from two within this. */
const PAIR_MS = 10_000;
/** A wrong limit is raised step by step; one that proves right is tried again less and less. */
const MIN_RAISE_MS = 15_000;
const MAX_RAISE_MS = 240_000;

const UNWATCHED: ResponseWatch = {
  timeoutMs: Infinity,
  start: () => undefined,
  recordHead: () => undefined,
  isSilent: () => false,
  end: () => undefined,
};

/**
 * Creates a detector without samples. A connection is silent when the head of its response is
 * missing for twice the longest time of its work class at this instance in the last half minute or
 * more, while at least ten later requests of the class have been answered. Errors of the instance
 * are left out of the longest time, as runs that fail often do so at their deadline.
 *
 * Two silent connections within seconds show that the instance accepts fewer requests than it
 * announces: no more than it may have been at work on when the one that met the larger number was
 * sent. A silence beside fewer requests than were answered side by side lately has another cause. A
 * response on a silent connection takes back what was learned.
 *
 * @param options Clock and logger.
 * @returns The detector.
 *
 * @example
 * const watch = silence.watch('safe/1/300');
 * watch.start();
 * if (watch.isSilent()) abandon();
 */
export const createResponseSilence = (options: ResponseSilenceOptions): ResponseSilence => {
  const { clock } = options;
  const logger = options.logger.forComponent('instance');
  let classes = new Map<string, ResponseTimes>();
  let generation = 0;
  /** Times at which the requests that are running were sent, the earliest first. */
  const running = new Set<{ readonly sentAt: number }>();
  /** Requests on silent connections, on which the instance may be at work until their deadlines. */
  const silent = new Set<{ readonly endsAt: number }>();
  let silentCount = 0;
  let hasBeenSilent = false;
  let accepted = Infinity;
  let raiseMs = MIN_RAISE_MS;
  let raiseAt = Infinity;
  let lastSilence = { at: -Infinity, accepted: 0 };
  /** Slots that the instance announces, as far as this detector was asked. */
  let announcedSlots = Infinity;
  /** Requests that were answered beside ever more others. */
  let proofs: { readonly sentAt: number; readonly accepted: number }[] = [];
  /** Requests sent before this time may have run beside one that was never accepted. */
  let cleanSince = -Infinity;
  let proven = { at: -Infinity, accepted: 0 };

  const classOf = (workClass: string) => {
    const known = classes.get(workClass);
    if (known !== undefined || classes.size >= MAX_CLASSES) return known;
    const created = createResponseTimes(clock);
    classes.set(workClass, created);
    return created;
  };

  const countSilent = () => {
    const now = clock.now();
    for (const request of silent) if (request.endsAt <= now) silent.delete(request);
    return silent.size;
  };

  const setAccepted = (to: number, reason: string) => {
    logger.info({ from: accepted, to, reason }, 'the slots that the instance accepts changed');
    accepted = to;
  };

  const recordAccepted = (sentAt: number, count: number) => {
    if (sentAt < cleanSince || count <= (proofs.at(-1)?.accepted ?? 0)) return;
    proofs.push({ sentAt, accepted: count });
  };

  /** Returns how many requests the instance certainly accepted at once within the last window. */
  const findProven = () => {
    const now = clock.now();
    const [oldest] = running;
    const found = proofs.findLast(({ sentAt }) => sentAt < (oldest?.sentAt ?? now))?.accepted ?? 0;
    proofs = [];
    if (found >= proven.accepted || now - proven.at > WINDOW_MS) {
      proven = { at: now, accepted: found };
    }
    return proven.accepted;
  };

  const learn = (acceptedBefore: number) => {
    const now = clock.now();
    if (acceptedBefore < findProven()) return;
    const isPair = now - lastSilence.at < PAIR_MS;
    const learned = Math.max(1, acceptedBefore, lastSilence.accepted);
    lastSilence = { at: now, accepted: acceptedBefore };
    if (!isPair || learned >= Math.min(accepted, announcedSlots)) return;
    if (accepted !== Infinity) raiseMs = Math.min(MAX_RAISE_MS, raiseMs * 2);
    raiseAt = now + raiseMs;
    setAccepted(learned, 'connections went silent beyond it');
  };

  const watch: ResponseSilence['watch'] = (workClass, deadlineAt) => {
    const times = classOf(workClass);
    if (times === undefined) return UNWATCHED;
    const ownGeneration = generation;
    let own: { readonly sentAt: number } | undefined;
    let isAnswered = false;
    let headsAtStart = 0;
    let runningBefore = 0;
    let takenBefore = 0;
    let found: { readonly endsAt: number } | undefined;

    const isUnanswered = (sentAt: number, minMs: number) => (
      times.heads - headsAtStart >= MIN_LATER_HEADS && clock.now() - sentAt >= minMs
    );

    const remove = (request: { readonly sentAt: number }) => {
      times.running -= 1;
      running.delete(request);
      if (isAnswered) return;
      // The instance may never have accepted it, so that others ran beside fewer than it seems.
      cleanSince = clock.now();
      proofs = proofs.filter((proof) => proof.sentAt < request.sentAt);
    };

    return {
      timeoutMs: LONGEST_FACTOR * times.longestMs(),
      start: () => {
        if (own !== undefined || ownGeneration !== generation) return;
        own = { sentAt: clock.now() };
        // The requests that run now may be answered later, but were not sent later.
        headsAtStart = times.heads + times.running;
        runningBefore = running.size;
        takenBefore = runningBefore + countSilent();
        times.running += 1;
        running.add(own);
      },
      recordHead: (status) => {
        if (own === undefined || ownGeneration !== generation) return;
        isAnswered = true;
        times.heads += 1;
        if (found !== undefined) {
          silent.delete(found);
          if (accepted !== Infinity) setAccepted(Infinity, 'a silent connection has answered');
          lastSilence = { at: -Infinity, accepted: 0 };
        }
        if (status >= FIRST_SERVER_ERROR) return;
        times.record(clock.now() - own.sentAt);
        recordAccepted(own.sentAt, runningBefore + 1);
      },
      isSilent: () => {
        if (own === undefined || found !== undefined || ownGeneration !== generation) return false;
        if (!isUnanswered(own.sentAt, LONGEST_FACTOR * times.longestMs())) return false;
        silentCount += 1;
        hasBeenSilent = true;
        learn(takenBefore);
        found = { endsAt: deadlineAt };
        silent.add(found);
        remove(own);
        return true;
      },
      end: () => {
        if (own === undefined || ownGeneration !== generation) return;
        const ended = own;
        own = undefined;
        if (found !== undefined) return;
        // At its deadline, a request is given up anyway, so that less shows that it was silent.
        if (!isAnswered && isUnanswered(ended.sentAt, times.longestMs())) learn(takenBefore);
        remove(ended);
      },
    };
  };

  return {
    watch,
    acceptedSlots: (announced) => {
      announcedSlots = announced;
      if (accepted === Infinity) return announced;
      if (clock.now() >= raiseAt) {
        raiseAt = clock.now() + raiseMs;
        setAccepted(accepted + 1 < announced ? accepted + 1 : Infinity, 'none went silent lately');
      }
      return Math.min(announced, accepted);
    },
    leftWorkMs: (workClass, ranMs) => {
      const times = hasBeenSilent ? classes.get(workClass) : undefined;
      return times === undefined ? 0 : Math.max(0, times.longestMs() - ranMs);
    },
    silentCount: () => silentCount,
    reset: () => {
      generation += 1;
      hasBeenSilent = false;
      classes = new Map();
      running.clear();
      silent.clear();
      raiseMs = MIN_RAISE_MS;
      lastSilence = { at: -Infinity, accepted: 0 };
      proofs = [];
      proven = { at: -Infinity, accepted: 0 };
      if (accepted !== Infinity) setAccepted(Infinity, 'another process started');
    },
  };
};
