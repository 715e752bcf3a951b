import type { Clock } from '../clock/mod.ts';
import type { PublishedService } from '../contract/mod.ts';
import type { Announcement } from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Tracks whether the instance of this host is cold, and how many requests it may receive then. */
export interface ColdInstance {
  /** Applies an announcement that the registry has accepted. */
  readonly applyAnnouncement: (announcement: Announcement) => void;
  /**
   * Records that the instance may have been restarted, so that it is not known to be warm until its
   * next announcement. A process that is not the announced one is of no concern.
   */
  readonly recordDoubt: (reason: string, startedAt?: number) => void;
  /** Returns whether the instance is cold, or not known to be warm. */
  readonly isCold: () => boolean;
  /** Returns whether the instance itself announced that it is still cold. */
  readonly isAnnouncedCold: () => boolean;
  /** Requests that the instance may receive in any second while cold; Infinity without a bound. */
  readonly maxPerSecond: () => number;
}

/** Options of the tracker. */
export interface ColdInstanceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns a service of the contract in force. */
  readonly serviceOf: (service: string) => PublishedService | undefined;
  /** Factor on the requests per second of the contract; without it, there is no bound. */
  readonly coldExcess?: number | undefined;
  /** Requests in addition to the product; without it, there is no bound. */
  readonly coldSlack?: number | undefined;
  /** Time in ms since an evacuation of this failure domain ended; Infinity by default. */
  readonly evacuationEndedForMs?: () => number;
}

type Belief = 'warm' | 'cold' | 'not known to be warm';

/**
 * An announcement of the same process that arrives this soon after a doubt may have been sent
 * before its cause.
 */
const LATE_ANNOUNCEMENT_MS = 100;
/** Keeps a product such as 0.7 x 10 from falling below its exact value. */
const ROUNDING_ERROR = 1e-9;

/**
 * Creates the tracker. Without announcements, the instance counts as warm.
 *
 * @param options Clock, logger, contract and settings.
 * @returns The tracker.
 *
 * @example
 * const cold = createColdInstance({ clock, logger, serviceOf, coldExcess: 1.5, coldSlack: 8 });
 * cold.applyAnnouncement(announcement);
 */
export const createColdInstance = (options: ColdInstanceOptions): ColdInstance => {
  const {
    clock, coldExcess, coldSlack, evacuationEndedForMs = () => Infinity,
  } = options;
  const logger = options.logger.forComponent('instance');
  let announced: Announcement | undefined;
  /** Monotonic times in ms. */
  let announcedAt = -Infinity;
  let coldUntil = -Infinity;
  let doubt: { readonly reason: string; readonly at: number } | undefined;
  let loggedBelief: Belief = 'warm';

  const maxPerSecond = () => {
    if (coldExcess === undefined || coldSlack === undefined || announced === undefined) {
      return Infinity;
    }
    const perSecond = options.serviceOf(announced.service)?.coldPerSecond;
    if (perSecond === undefined) return Infinity;
    return Math.floor(perSecond * coldExcess + coldSlack + ROUNDING_ERROR);
  };

  const isAnnouncedCold = () => clock.now() < coldUntil;

  const findDoubt = () => {
    if (doubt !== undefined) return doubt.reason;
    return evacuationEndedForMs() < clock.now() - announcedAt
      ? 'the evacuation of its failure domain ended'
      : undefined;
  };

  const updateBelief = (): Belief => {
    if (maxPerSecond() === Infinity) return 'warm';
    const reason = findDoubt();
    const unsureBelief = reason === undefined ? 'warm' : 'not known to be warm';
    const belief = isAnnouncedCold() ? 'cold' : unsureBelief;
    if (belief !== loggedBelief) {
      logger.info({
        instance: announced?.instance,
        from: loggedBelief,
        to: belief,
        reason,
        coldMs: Math.max(0, Math.round(coldUntil - clock.now())),
        maxPerSecond: maxPerSecond(),
      }, 'the warm-up of the instance changed');
      loggedBelief = belief;
    }
    return belief;
  };

  return {
    applyAnnouncement: (announcement) => {
      const now = clock.now();
      const isSameProcess = announced?.startedAt === announcement.startedAt;
      const isLate = doubt !== undefined && now - doubt.at < LATE_ANNOUNCEMENT_MS;
      if (!isSameProcess || !isLate) doubt = undefined;
      announced = announcement;
      announcedAt = now;
      coldUntil = now + announcement.coldMs;
      updateBelief();
    },
    recordDoubt: (reason, startedAt) => {
      if (startedAt !== undefined && startedAt !== announced?.startedAt) return;
      doubt = { reason, at: clock.now() };
      updateBelief();
    },
    isCold: () => updateBelief() !== 'warm',
    isAnnouncedCold: () => maxPerSecond() !== Infinity && isAnnouncedCold(),
    maxPerSecond,
  };
};
