import { createAdmission } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { createUpstreamClient } from '../forward/mod.ts';
import type { LocalUpstream } from '../proxy/mod.ts';
import type { Announcement, Announcements } from './announcements.ts';

/** HTTP clients and admission control of the local instances. */
export interface LocalUpstreams {
  readonly find: (instance: string) => LocalUpstream | undefined;
  /** Number of requests that are running or queued at local instances. */
  readonly inFlight: () => number;
  readonly stop: () => Promise<void>;
}

interface UpstreamEntry extends LocalUpstream {
  readonly url: string;
  readonly connections: number;
}

/** Maintains an HTTP client and an admission queue for each announced instance. */
export const createLocalUpstreams = (
  options: { readonly clock: Clock; readonly announcements: Announcements },
): LocalUpstreams => {
  const { clock, announcements } = options;
  const entries = new Map<string, UpstreamEntry>();

  const open = (announcement: Announcement): UpstreamEntry => {
    const { instance, url, connections } = announcement;
    return {
      url,
      connections,
      client: createUpstreamClient(new URL(url).host, { clock, connections }),
      admission: createAdmission({
        clock,
        instance,
        announcedSlots: () => announcements.find(instance)?.slots ?? announcement.slots,
      }),
    };
  };

  const close = (instance: string) => {
    const entry = entries.get(instance);
    entries.delete(instance);
    entry?.client.stop();
  };

  announcements.onChange((instance, announcement) => {
    const entry = entries.get(instance);
    if (announcement === undefined) {
      close(instance);
      return;
    }
    if (entry?.url === announcement.url && entry.connections === announcement.connections) return;
    close(instance);
    entries.set(instance, open(announcement));
  });

  return {
    find: (instance) => entries.get(instance),
    inFlight: () => {
      let total = 0;
      for (const { admission } of entries.values()) {
        const { inFlight, queued } = admission.load();
        total += inFlight + queued;
      }
      return total;
    },
    stop: async () => {
      await Promise.all([...entries.values()].map(({ client }) => client.stop()));
    },
  };
};
