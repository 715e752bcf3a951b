import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import { StepError } from '../errors/mod.ts';
import { type InstanceInfo, InstanceState } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

const STEP = 'announce';
const MAX_SLOTS = 10_000;
/** An upstream that does not refresh its announcement within this time is considered lost. */
export const ANNOUNCEMENT_TTL_MS = 3000;

const announcementSchema = z.strictObject({
  instance: z.string().min(1).max(100),
  service: z.string().min(1).max(63),
  url: z.url({ protocol: /^http$/u }),
  slots: z.int().min(1).max(MAX_SLOTS),
  connections: z.int().min(1).max(MAX_SLOTS),
  weight: z.number().positive().default(1),
  state: z.enum(['ready', 'cold', 'draining']).default('ready'),
}).readonly();

/** Properties that an upstream instance reports to the node on its host. */
export type Announcement = z.infer<typeof announcementSchema>;

/** Called when an instance is added or changes, and with `undefined` when it is lost. */
export type AnnouncementListener = (
  instance: string,
  announcement: Announcement | undefined,
) => void;

/** The local upstream instances: those that announce themselves to this node. */
export interface Announcements {
  /** Stores or refreshes an announcement. The error names the invalid field. */
  readonly accept: (body: unknown) => Result<Announcement, StepError>;
  readonly find: (instance: string) => Announcement | undefined;
  readonly instances: () => readonly InstanceInfo[];
  /** Marks all instances as draining, now and in later announcements. Used to shut down. */
  readonly drainAll: () => void;
  readonly onChange: (listener: AnnouncementListener) => void;
  /** Cancels the timers of all announcements. */
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
 * Creates the table of the local upstream instances.
 *
 * @param options Clock for the expiry of announcements, and the logger.
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
  const table = new Map<string, Announcement>();
  const expiryCancels = new Map<string, () => void>();
  const listeners: AnnouncementListener[] = [];
  let draining = false;

  const notify = (instance: string, announcement: Announcement | undefined) => {
    for (const listener of listeners) listener(instance, announcement);
  };

  const expire = (instance: string) => {
    table.delete(instance);
    expiryCancels.delete(instance);
    logger.warn({ instance }, 'upstream announcement expired');
    notify(instance, undefined);
  };

  const put = (announcement: Announcement) => {
    const { instance } = announcement;
    expiryCancels.get(instance)?.();
    expiryCancels.set(instance, clock.schedule(ANNOUNCEMENT_TTL_MS, () => expire(instance)));
    if (isSame(table.get(instance), announcement)) return;
    table.set(instance, announcement);
    logger.info({ instance, state: announcement.state }, 'upstream announcement added or changed');
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
    find: (instance) => table.get(instance),
    instances: () => [...table.values()].map(toInstanceInfo),
    drainAll: () => {
      draining = true;
      for (const announcement of [...table.values()]) put({ ...announcement, state: 'draining' });
    },
    onChange: (listener) => {
      listeners.push(listener);
    },
    stop: () => {
      for (const cancelExpiry of expiryCancels.values()) cancelExpiry();
      expiryCancels.clear();
    },
  };
};
