import type { DepartureLog, DirectoryInstance } from '../directory/mod.ts';
import type { InstanceClient, LocalInstance } from '../gateway/mod.ts';
import type { Announcement, Owner } from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type AnnouncementCheckOptions, createAnnouncementCheck } from './_announcement_check.ts';
import { createLocalDepartures, type InstanceProcess, isSameProcess } from './_local_departures.ts';
import { createProcessProbe, type ProcessProbeOptions } from './_process_probe.ts';

/** Tracks the instance of this host by its announcements and by probes of its address. */
export interface InstanceRegistry {
  /**
   * Applies an announcement; returns false if it is not used. A departure that a later process of
   * the instance announces is remembered also then.
   */
  readonly announce: (announcement: Announcement) => boolean;
  /**
   * Starts draining an instance that deregisters itself, and remembers its departure also if it is
   * not tracked. Without a start time, any process of this identifier that runs so far leaves.
   */
  readonly leave: (instance: string, startedAt?: number) => void;
  /** Resolves once all departures so far are stored, or after a limit; then they are confirmed. */
  readonly departuresStored: () => Promise<unknown>;
  /** Applies what an earlier process of this node knew of the instance. */
  readonly restore: (former: DirectoryInstance) => void;
  readonly local: () => LocalInstance | undefined;
  readonly owner: () => Owner | undefined;
  readonly slots: () => number;
  /**
   * Reports whether it is proven that earlier processes of the instance have ended: they were gone,
   * or the current one has announced itself twice; and no request of theirs is unfinished.
   */
  readonly hasSucceeded: () => boolean;
  /**
   * Reports whether the instance neither accepts connections nor is at work, so that none holds
   * keys. A process that leaves may close its listener before it has finished its requests.
   */
  readonly isProcessGone: () => boolean;
  /** Time in ms since the last announcement; Infinity before the first one. */
  readonly silentMs: () => number;
  /** Returns the instance's part of this node's directory entry. */
  readonly describe: () => DirectoryInstance | undefined;
  readonly onChange: (listener: () => void) => void;
  /** Checks whether a silent or draining instance still has a process. */
  readonly probe: () => Promise<void>;
}

/** Options for {@link createInstanceRegistry}. */
export interface InstanceRegistryOptions extends AnnouncementCheckOptions, ProcessProbeOptions {
  readonly node: string;
  readonly logger: Logger;
  /** Configured address of the instance; empty if none is configured. */
  readonly instanceAddress: string;
  /** Time in ms after an acknowledged departure by which no new request may reach the instance. */
  readonly drainMs: number;
  /** Keeps acknowledged departures beyond this process. */
  readonly departureLog: Pick<DepartureLog, 'add' | 'departures' | 'isSettled'>;
  readonly openPort: (announcement: Announcement, onRefused: () => void) => InstanceClient;
}

interface TrackedInstance {
  announcement: Announcement;
  state: LocalInstance['state'];
  /** Monotonic time in ms after which no more requests are accepted. */
  closesAt: number;
  /** Monotonic time in ms of the last announcement. */
  announcedAt: number;
  /** Wall-clock time in ms at which the warm-up ends. */
  coldUntil: number;
  /** Whether the earlier process had ended, or this one has announced itself again. */
  hasSucceeded: boolean;
  /** Whether the process accepts no connections and is not at work. */
  isGone: boolean;
  readonly port: InstanceClient;
}

/** Announce intervals without an announcement before the instance counts as silent. */
const MISSED_ANNOUNCEMENTS = 2.5;
/** Announce intervals after which one that leaves has announced the last of its keys. */
const QUIET_ANNOUNCEMENTS = 1.5;
/** Fraction of the drain time during which requests already in transit are still accepted. */
const DRAIN_ACCEPT_FRACTION = 0.5;

/**
 * Creates a registry without an instance.
 *
 * @param options Clock, node, logger, limits, and functions that open and probe a port.
 * @returns The registry.
 *
 * @example
 * const registry = createInstanceRegistry(options);
 * registry.announce(announcement);
 */
export const createInstanceRegistry = (options: InstanceRegistryOptions): InstanceRegistry => {
  const { clock, node } = options;
  const logger = options.logger.forComponent('instance');
  const listeners: (() => void)[] = [];
  let tracked: TrackedInstance | undefined;
  /** No instance has announced itself, and the configured address refuses connections. */
  let isAddressUnused = false;
  const check = createAnnouncementCheck(options);
  const probe = createProcessProbe(options);
  const departures = createLocalDepartures(clock, options.departureLog);

  const notify = () => {
    for (const listener of listeners) listener();
  };

  const quietIntervals = ({ announcedAt }: TrackedInstance) => (
    (clock.now() - announcedAt) / options.announceIntervalMs
  );

  const isSilent = (current: TrackedInstance) => quietIntervals(current) > MISSED_ANNOUNCEMENTS;

  const setState = (current: TrackedInstance, state: TrackedInstance['state'], reason: string) => {
    if (current.state === state) return;
    const { instance, startedAt, sequence } = current.announcement;
    logger.info({
      instance, startedAt, sequence, from: current.state, to: state, reason,
    }, 'instance state changed');
    Object.assign(current, { state });
    notify();
  };

  /** Reports whether a process that accepts no connections holds no keys either. */
  const hasEnded = (current: TrackedInstance) => {
    const { announcement, port: client } = current;
    if (probe.mayBeAtWork({ client, startedAt: announcement.startedAt })) return false;
    // One that leaves in order may announce the keys that it holds after it closed its listener.
    const isLeaving = departures.leftAt(announcement) !== undefined;
    return !isLeaving || quietIntervals(current) > QUIET_ANNOUNCEMENTS;
  };

  const probeInstance = async (current: TrackedInstance) => {
    if (current.isGone) return;
    const isRefused = await probe.isRefused(current.announcement.address);
    if (isRefused === undefined || current !== tracked) return;
    if (isRefused) {
      setState(current, 'down', 'its address refuses connections');
      if (!hasEnded(current)) return;
      const { instance, startedAt } = current.announcement;
      logger.info({ instance, startedAt }, 'the process of the instance has ended');
      Object.assign(current, { isGone: true });
      notify();
    } else if (current.state === 'ready' && isSilent(current)) {
      setState(current, 'silent', 'its announcements stopped arriving');
    }
  };

  const startTracking = (announcement: Announcement): TrackedInstance => {
    if (tracked !== undefined) {
      tracked.port.close();
      probe.addFormer(tracked.port);
    }
    const opened: TrackedInstance = {
      announcement,
      state: 'ready',
      closesAt: Infinity,
      announcedAt: clock.now(),
      coldUntil: clock.wallTime() + announcement.coldMs,
      hasSucceeded: tracked?.isGone ?? isAddressUnused,
      isGone: false,
      port: options.openPort(announcement, () => {
        if (tracked === opened) probeInstance(opened).catch(() => undefined);
      }),
    };
    logger.info({
      instance: announcement.instance,
      startedAt: announcement.startedAt,
      service: announcement.service,
      address: announcement.address,
      settingsAddress: options.instanceAddress,
      slots: announcement.slots,
      coldMs: announcement.coldMs,
    }, 'an instance registered');
    return opened;
  };

  const startDraining = (current: TrackedInstance, reason: string) => {
    if (current.state === 'draining' || current.state === 'down') return;
    Object.assign(current, { closesAt: clock.now() + options.drainMs * DRAIN_ACCEPT_FRACTION });
    setState(current, 'draining', reason);
  };

  /** An instance that has deregistered may go on announcing itself as ready until it ends. */
  const drainDeparted = (current: TrackedInstance, reason: string) => {
    const leftAt = departures.leftAt(current.announcement);
    if (leftAt === undefined) return;
    startDraining(current, reason);
    const closesAt = Math.max(clock.now(), leftAt + options.drainMs * DRAIN_ACCEPT_FRACTION);
    Object.assign(current, { closesAt: Math.min(current.closesAt, closesAt) });
  };

  const recordDeparture = ({ instance, startedAt }: InstanceProcess, reason: string) => {
    departures.record(instance, startedAt);
    if (tracked !== undefined) drainDeparted(tracked, reason);
  };

  const announce: InstanceRegistry['announce'] = (announcement) => {
    const objection = check.findObjection(announcement, tracked);
    if (objection !== undefined) {
      const { instance, startedAt, service } = announcement;
      logger.warn({
        instance,
        startedAt,
        service,
        tracked: tracked?.announcement.instance,
        reason: objection.reason,
        isDraining: announcement.isDraining,
      }, 'ignored an announcement');
      if (objection.mayRun && announcement.isDraining) {
        recordDeparture(announcement, 'a later process announced that it is draining');
      }
      return false;
    }
    check.reset();
    if (tracked === undefined || !isSameProcess(tracked.announcement, announcement)) {
      tracked = startTracking(announcement);
      notify();
    } else tracked.hasSucceeded = true;
    Object.assign(tracked, { announcement, announcedAt: clock.now(), isGone: false });
    if (announcement.isDraining) {
      recordDeparture(announcement, 'it announced that it is draining');
    } else if (departures.leftAt(announcement) !== undefined) {
      drainDeparted(tracked, 'it had left');
    } else if (tracked.state === 'down' || tracked.state === 'silent') {
      setState(tracked, 'ready', 'its announcements resumed');
    }
    return true;
  };

  return {
    announce,
    leave: (instance, startedAt) => {
      const known = tracked?.announcement.instance === instance ? tracked.announcement : undefined;
      const latestStart = startedAt ?? known?.startedAt ?? clock.wallTime();
      recordDeparture({ instance, startedAt: latestStart }, 'it deregistered');
    },
    departuresStored: departures.stored,
    restore: (former) => {
      departures.restore(former);
      if (tracked !== undefined) drainDeparted(tracked, 'it left before this node was restarted');
    },
    local: () => tracked && {
      instance: tracked.announcement.instance,
      service: tracked.announcement.service,
      state: tracked.state,
      // Until the departures are known, the instance may be one that has left.
      acceptsUntil: departures.isSettled() ? tracked.closesAt : -Infinity,
      client: tracked.port,
    },
    owner: () => tracked && {
      node, instance: tracked.announcement.instance, startedAt: tracked.announcement.startedAt,
    },
    hasSucceeded: () => tracked?.hasSucceeded === true && !probe.mayFormerBeAtWork(),
    slots: () => tracked?.announcement.slots ?? 1,
    isProcessGone: () => (tracked === undefined ? isAddressUnused : tracked.isGone),
    silentMs: () => (tracked === undefined ? Infinity : clock.now() - tracked.announcedAt),
    describe: () => tracked && {
      instance: tracked.announcement.instance,
      startedAt: tracked.announcement.startedAt,
      service: tracked.announcement.service,
      slots: tracked.announcement.slots,
      state: tracked.state,
      coldUntil: tracked.coldUntil,
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    probe: async () => {
      if (tracked === undefined) {
        const { instanceAddress } = options;
        if (instanceAddress === '' || isAddressUnused || probe.mayBeAtWork()) return;
        isAddressUnused = await probe.isRefused(instanceAddress) === true && tracked === undefined;
        if (!isAddressUnused) return;
        logger.info({ address: instanceAddress }, 'no instance runs on this host');
        notify();
        return;
      }
      const isExpectedToEnd = tracked.state === 'draining' || tracked.state === 'down';
      if (isExpectedToEnd || isSilent(tracked)) await probeInstance(tracked);
    },
  };
};
