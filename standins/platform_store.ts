import { serve, type ServerType } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import type { StoreError, StoreErrorKind } from '../errors/mod.ts';
import { platformHeaders, storePaths } from '../platform/mod.ts';
import { createMemoryLeasedStore, type MemoryLeasedStore, type StoreEntry } from '../store/mod.ts';

/** A stand-in for the platform's store, served over HTTP. */
export interface PlatformStoreServer {
  readonly address: string;
  /** The backing store, which can inject faults. */
  readonly store: MemoryLeasedStore;
  readonly close: () => Promise<void>;
}

const statusByErrorKind = {
  conflict: 412,
  unavailable: 503,
  unknown: 500,
  'too-large': 413,
  compacted: 410,
  'lease-ended': 404,
} as const satisfies Record<StoreErrorKind, number>;

const toItem = ({ key, revision, value }: StoreEntry) => ({
  key, revision, value: Buffer.from(value).toString('base64'),
});

const decodeValue = (value: string) => Buffer.from(value, 'base64').toString();

const numberParam = (context: Context, name: string) => Number(context.req.query(name) ?? 0);

const errorResponse = (context: Context, { kind }: StoreError) => (
  context.json({ error: kind }, statusByErrorKind[kind])
);

const createRoutes = (store: MemoryLeasedStore): Hono => {
  const routes = new Hono();
  routes.use(async (context, next) => {
    await next();
    const era = store.era();
    if (era !== undefined) context.header(platformHeaders.storeEra, String(era));
  });
  routes.get(storePaths.get, async (context) => {
    const found = await store.get(context.req.query('key') ?? '');
    if (found.isErr()) return errorResponse(context, found.error);
    if (found.value === undefined) return context.json({}, 404);
    return context.json(toItem(found.value));
  });
  routes.get(storePaths.list, async (context) => {
    const list = await store.list(context.req.query('prefix') ?? '');
    if (list.isErr()) return errorResponse(context, list.error);
    const { entries, at } = list.value;
    return context.json({ items: entries.map(toItem), has_more: false, at });
  });
  routes.get(storePaths.watch, async (context) => {
    const changes = await store.watch(
      context.req.query('prefix') ?? '',
      numberParam(context, 'after'),
      { waitMs: numberParam(context, 'wait_ms'), signal: context.req.raw.signal },
    );
    if (changes.isErr()) return errorResponse(context, changes.error);
    const events = changes.value.events.map((event) => (
      'removed' in event
        ? { key: event.key, revision: event.revision, deleted: true }
        : toItem(event)
    ));
    return context.json({ events, at: changes.value.at });
  });
  routes.post(storePaths.transact, async (context) => {
    const body = await context.req.json();
    const result = await store.transact({
      expect: body.expect,
      puts: body.puts.map((put: { key: string; value: string; lease: number }) => ({
        key: put.key, value: decodeValue(put.value), lease: put.lease === 0 ? undefined : put.lease,
      })),
      removals: body.remove,
    });
    return result.isErr()
      ? errorResponse(context, result.error)
      : context.json({ revision: result.value });
  });
  routes.post(storePaths.openLease, async (context) => {
    const body = await context.req.json();
    const lease = await store.grantLease(Number.parseFloat(body.ttl_time));
    return lease.isErr()
      ? errorResponse(context, lease.error)
      : context.json({ lease: lease.value, ttl_time: body.ttl_time });
  });
  routes.post(`${storePaths.keepLease}:id`, async (context) => {
    const kept = await store.renewLease(Number(context.req.param('id')));
    return kept.isErr() ? errorResponse(context, kept.error) : context.json({});
  });
  routes.delete(`${storePaths.endLease}:id`, async (context) => {
    const ended = await store.revokeLease(Number(context.req.param('id')));
    return ended.isErr() ? errorResponse(context, ended.error) : context.json({});
  });
  return routes;
};

/**
 * Starts a stand-in for the platform's store on a free loopback port.
 *
 * @param clock Clock that expires the leases.
 * @returns The server, once it listens, and its backing store.
 *
 * @example
 * const server = await startPlatformStore(clock);
 */
export const startPlatformStore = async (clock: Clock): Promise<PlatformStoreServer> => {
  const store = createMemoryLeasedStore(clock);
  const routes = createRoutes(store);
  const server = await new Promise<ServerType>((resolve) => {
    const started = serve({ fetch: routes.fetch, hostname: '127.0.0.1', port: 0 }, () => {
      resolve(started);
    });
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    store,
    close: () => new Promise((resolve) => {
      server.close(() => resolve());
      if ('closeAllConnections' in server) server.closeAllConnections();
    }),
  };
};
