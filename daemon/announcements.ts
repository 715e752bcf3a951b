import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import { type InstanceInfo, InstanceState } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

const STEP = 'announce';
const MAX_SLOTS = 10_000;
/** An upstream that stops refreshing its announcement counts as lost after this time. */
export const ANNOUNCEMENT_LIFETIME_MS = 3000;

const announcementSchema = z.strictObject({
  instance: z.string().min(1).max(100),
  service: z.string().min(1).max(63),
  url: z.url({ protocol: /^http$/u }),
  slots: z.int().min(1).max(MAX_SLOTS),
  connections: z.int().min(1).max(MAX_SLOTS),
  weight: z.number().positive().default(1),
  state: z.enum(['ready', 'cold', 'draining']).default('ready'),
}).readonly();

/** What an upstream instance tells its node about itself. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Called when an instance appears, changes, or (with `undefined`) is lost. */
export type AnnouncementListener = (
  instance: string,
  announcement: Announcement | undefined,
) => void;

/** The upstream instances beside this node. */
export interface Announcements {
  /** Accepts an announcement or its refresh; fails with the field at fault. */
  readonly accept: (body: unknown) => Result<Announcement, StepError>;
  readonly find: (instance: string) => Announcement | undefined;
  readonly instances: () => readonly InstanceInfo[];
  /** Marks all instances as draining, as a planned stop of the node does. */
  readonly drainAll: () => void;
  readonly onChange: (listener: AnnouncementListener) => void;
  /** Cancels the expiry of announcements. */
  readonly stop: () => void;
}

const stateCodes: Readonly<Record<Announcement['state'], InstanceState>> = {
  ready: InstanceState.INSTANCE_STATE_READY,
  cold: InstanceState.INSTANCE_STATE_COLD,
  draining: InstanceState.INSTANCE_STATE_DRAINING,
};

const toInstanceInfo = (announcement: Announcement): InstanceInfo => ({
  instance: announcement.instance,
  service: announcement.service,
  slots: announcement.slots,
  connections: announcement.connections,
  weight: announcement.weight,
  state: stateCodes[announcement.state],
});

const isSame = (left: Announcement | undefined, right: Announcement) => (
  JSON.stringify(left) === JSON.stringify(right)
);

/**
 * Creates the table of the upstream instances beside this node.
 *
 * @param options Clock for the lifetime of an announcement, and the logger.
 * @returns The table.
 *
 * @example
 * const announcements = createAnnouncements({ clock, logger });
 * announcements.accept({ instance: 'a1', service: 'ledger', url: 'http://127.0.0.1:9001', ... });
 */
export const createAnnouncements = (
  options: { readonly clock: Clock; readonly logger: Logger },
): Announcements => {
  const { clock, logger } = options;
  const known = new Map<string, Announcement>();
  const expiries = new Map<string, () => void>();
  const listeners: AnnouncementListener[] = [];
  let draining = false;

  const notify = (instance: string, announcement: Announcement | undefined) => {
    for (const listener of listeners) listener(instance, announcement);
  };

  const expire = (instance: string) => {
    known.delete(instance);
    expiries.delete(instance);
    logger.warn({ instance }, 'upstream stopped refreshing its announcement');
    notify(instance, undefined);
  };

  const put = (announcement: Announcement) => {
    const { instance } = announcement;
    expiries.get(instance)?.();
    expiries.set(instance, clock.schedule(ANNOUNCEMENT_LIFETIME_MS, () => expire(instance)));
    if (isSame(known.get(instance), announcement)) return;
    known.set(instance, announcement);
    logger.info({ instance, state: announcement.state }, 'upstream announced itself');
    notify(instance, announcement);
  };

  return {
    accept: (body) => {
      const parsed = announcementSchema.safeParse(body);
      if (!parsed.success) {
        const [issue] = parsed.error.issues;
        const reason = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'is invalid'}`;
        return err(new StepError(reason, { step: STEP, peer: 'upstream' }));
      }
      const announcement = draining
        ? { ...parsed.data, state: 'draining' as const }
        : parsed.data;
      put(announcement);
      return ok(announcement);
    },
    find: (instance) => known.get(instance),
    instances: () => [...known.values()].map(toInstanceInfo),
    drainAll: () => {
      draining = true;
      for (const announcement of [...known.values()]) put({ ...announcement, state: 'draining' });
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    stop: () => {
      for (const cancelExpiry of expiries.values()) cancelExpiry();
      expiries.clear();
    },
  };
};
