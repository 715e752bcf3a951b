import type { Clock } from '../clock/mod.ts';
import type { ColdInstance } from './cold_instance.ts';
import type { InstanceRegistry } from './instance_registry.ts';

/** Differences below this are due to the way of an announcement and are not worth a store call. */
const MIN_EXTENSION_MS = 500;

/**
 * Passes announcements on to the tracker of cold instances, and publishes in the directory that an
 * instance has become cold again.
 *
 * @param clock Clock.
 * @param registry Registry of the instance of this host.
 * @param cold Tracker of the same instance.
 * @returns The registry to use in place of the one given.
 *
 * @example
 * const registry = trackColdStarts(clock, createInstanceRegistry(options), cold);
 */
export const trackColdStarts = (
  clock: Clock,
  registry: InstanceRegistry,
  cold: ColdInstance,
): InstanceRegistry => {
  const listeners: (() => void)[] = [];
  /** Wall-clock time in ms at which the warm-up of a process that became cold again ends. */
  let extended: { readonly startedAt: number; readonly coldUntil: number } | undefined;

  const describe: InstanceRegistry['describe'] = () => {
    const described = registry.describe();
    if (described === undefined || extended?.startedAt !== described.startedAt) return described;
    return { ...described, coldUntil: Math.max(described.coldUntil, extended.coldUntil) };
  };

  return {
    ...registry,
    announce: (announcement) => {
      const former = registry.owner();
      if (!registry.announce(announcement)) {
        const { instance, startedAt } = announcement;
        // It is used once it has proven that the former process has ended, but may run already.
        if (former?.instance === instance && former.startedAt < startedAt) {
          cold.recordDoubt('a newer process announced itself');
        }
        return false;
      }
      cold.applyAnnouncement(announcement);
      const coldUntil = clock.wallTime() + announcement.coldMs;
      if (cold.isAnnouncedCold() && coldUntil > describe()!.coldUntil + MIN_EXTENSION_MS) {
        extended = { startedAt: announcement.startedAt, coldUntil };
        for (const listener of listeners) listener();
      }
      return true;
    },
    describe,
    onChange: (listener) => {
      listeners.push(listener);
      registry.onChange(listener);
    },
  };
};
