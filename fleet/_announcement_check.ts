import type { Clock } from '../clock/mod.ts';
import type { Announcement } from '../ranges/mod.ts';
import { isSameProcess } from './_local_departures.ts';

/** The process of the instance that is in use. */
export interface ProcessInUse {
  readonly announcement: Announcement;
  readonly state: 'ready' | 'silent' | 'draining' | 'down';
  /** Monotonic time in ms of the last announcement. */
  readonly announcedAt: number;
}

/** Why an announcement must not be used. */
export interface Objection {
  readonly reason: string;
  /** Whether it may be that of a process which runs, although another one is in use. */
  readonly mayRun: boolean;
}

/** Decides which announcements are used. */
export interface AnnouncementCheck {
  /** Returns why an announcement must not be used, or undefined if it may be. */
  readonly findObjection: (
    announcement: Announcement,
    inUse: ProcessInUse | undefined,
  ) => Objection | undefined;
  /** Forgets what other processes announced, as an announcement was used. */
  readonly reset: () => void;
}

/** Options for `createAnnouncementCheck`. */
export interface AnnouncementCheckOptions {
  readonly clock: Clock;
  readonly announceIntervalMs: number;
  /** Reports whether this host or the contract names a service; others have no instance. */
  readonly isKnownService: (service: string) => boolean;
}

/** Announce intervals after which another process may have replaced one that isn't announced. */
const SUCCESSION_ANNOUNCEMENTS = 1.5;
/** Largest time in ms by which the clock that stamped an announcement may be ahead of this one. */
const MAX_CLOCK_LEAD_MS = 3_600_000;

const isStale = (
  { announcement: known }: ProcessInUse,
  { startedAt, sequence }: Announcement,
) => (
  startedAt < known.startedAt
  || (startedAt === known.startedAt && sequence <= known.sequence)
);

/**
 * Creates a check that knows no announcements.
 *
 * @param options Clock, interval of announcements, and known services.
 * @returns The check.
 *
 * @example
 * const objection = check.findObjection(announcement, inUse);
 */
export const createAnnouncementCheck = (options: AnnouncementCheckOptions): AnnouncementCheck => {
  const { clock } = options;
  /** The last announcement of a process that may have replaced the one in use. */
  let contender: Announcement | undefined;

  /**
   * A single announcement may come from another writer, so it doesn't show that the process that
   * is in use has ended.
   */
  const mayReplace = (inUse: ProcessInUse, announcement: Announcement) => {
    if (inUse.state === 'down' || inUse.state === 'draining') return true;
    const isRepeated = contender !== undefined && isSameProcess(contender, announcement)
      && announcement.sequence > contender.sequence;
    contender = announcement;
    const quietMs = clock.now() - inUse.announcedAt;
    return isRepeated && quietMs > options.announceIntervalMs * SUCCESSION_ANNOUNCEMENTS;
  };

  const findFault = (announcement: Announcement, inUse: ProcessInUse | undefined) => {
    const { service, startedAt } = announcement;
    if (startedAt > clock.wallTime() + MAX_CLOCK_LEAD_MS) return 'its start lies in the future';
    if (inUse !== undefined && isStale(inUse, announcement)) return 'it is stale';
    if (inUse !== undefined && isSameProcess(inUse.announcement, announcement)) {
      return inUse.announcement.service === service ? undefined : 'its service has changed';
    }
    return options.isKnownService(service) ? undefined : 'nothing names its service';
  };

  return {
    findObjection: (announcement, inUse) => {
      const reason = findFault(announcement, inUse);
      if (reason !== undefined) return { reason, mayRun: false };
      if (inUse === undefined || isSameProcess(inUse.announcement, announcement)) return undefined;
      return mayReplace(inUse, announcement)
        ? undefined
        : { reason: 'another process is in use', mayRun: true };
    },
    reset: () => {
      contender = undefined;
    },
  };
};
