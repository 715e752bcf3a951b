import { serve, type HttpBindings } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import type { StoreError, StoreErrorKind } from '../errors/mod.ts';
import { createMemoryStore, MAX_VALUE_BYTES, type MemoryStore } from '../store/mod.ts';

/** Options of the stand-in store server. */
export interface StoreServerOptions {
  readonly clock: Clock;
  readonly host?: string;
  /** Port to listen on; 0 selects a free one. */
  readonly port?: number;
  /** Bearer token that every call must carry; without it calls need no token. */
  readonly credential?: string;
  /** Maximum number of watches that wait at the same time; further ones are refused. */
  readonly maxWatches?: number;
}

/** A running stand-in store server. */
export interface StoreServer {
  readonly url: string;
  /** The backing store, which can inject outages, delays and replies lost after a write. */
  readonly store: MemoryStore;
  readonly close: () => Promise<void>;
}

type StoreContext = Context<{ Bindings: HttpBindings }>;

const DEFAULT_MAX_WATCHES = 256;
const MAX_WATCH_WAIT_MS = 60_000;

const statusByErrorKind = {
  conflict: 409,
  unavailable: 503,
  unknown: 500,
  'too-large': 413,
  compacted: 410,
  'lease-ended': 404,
} as const satisfies Record<StoreErrorKind, number>;

const numberParam = (context: StoreContext, name: string) => Number(context.req.query(name) ?? 0);

const errorResponse = (context: StoreContext, { kind, reason }: StoreError) => {
  // A lost reply closes the connection without a response, as a network failure does.
  if (kind === 'unknown') context.env.incoming.socket.destroy();
  return context.json({ kind, reason }, statusByErrorKind[kind]);
};

/**
 * Starts a stand-in for the platform's key-value service, backed by an in-memory store.
 *
 * @param options Clock, address and limits.
 * @returns The server, once it listens.
 *
 * @example
 * const server = await startStoreServer({ clock: createSystemClock() });
 * server.store.setDown(true);
 */
export const startStoreServer = async (options: StoreServerOptions): Promise<StoreServer> => {
  const {
    clock, host = '127.0.0.1', port = 0, credential,
  } = options;
  const maxWatches = options.maxWatches ?? DEFAULT_MAX_WATCHES;
  const store = createMemoryStore(clock);
  const pendingWatches = new Set<AbortController>();
  const app = new Hono<{ Bindings: HttpBindings }>();

  app.use(async (context, next) => {
    const authorization = context.req.header('authorization');
    if (credential === undefined || authorization === `Bearer ${credential}`) return next();
    return context.json({ error: 'wrong credential' }, 401);
  });

  app.get('/v1/entry', async (context) => {
    const outcome = await store.get(context.req.query('key') ?? '');
    if (outcome.isErr()) return errorResponse(context, outcome.error);
    return context.json({ entry: outcome.value ?? null });
  });

  app.get('/v1/entries', async (context) => {
    const outcome = await store.list(context.req.query('prefix') ?? '');
    if (outcome.isErr()) return errorResponse(context, outcome.error);
    return context.json({ entries: outcome.value });
  });

  const tooLargeResponse = (context: Context) => context.json({
    kind: 'too-large', reason: `the value exceeds ${MAX_VALUE_BYTES} bytes`,
  }, 413);

  app.put(
    '/v1/entry',
    bodyLimit({ maxSize: MAX_VALUE_BYTES, onError: tooLargeResponse }),
    async (context) => {
      const key = context.req.query('key') ?? '';
      const value = await context.req.text();
      const outcome = await store.compareAndSwap(key, numberParam(context, 'expected'), value);
      if (outcome.isErr()) return errorResponse(context, outcome.error);
      return context.json({ revision: outcome.value });
    },
  );

  app.get('/v1/watch', async (context) => {
    if (pendingWatches.size >= maxWatches) {
      return context.json({ kind: 'unavailable', reason: 'too many waiting watches' }, 503);
    }
    const abort = new AbortController();
    const waitMs = Math.min(MAX_WATCH_WAIT_MS, Math.max(0, numberParam(context, 'wait')));
    const abortWatch = () => abort.abort();
    const cancelTimeout = clock.schedule(waitMs, abortWatch);
    const { socket } = context.env.incoming;
    socket.once('close', abortWatch);
    pendingWatches.add(abort);
    const prefix = context.req.query('prefix') ?? '';
    const outcome = await store.watch(
      prefix,
      numberParam(context, 'after'),
      { signal: abort.signal },
    );
    pendingWatches.delete(abort);
    cancelTimeout();
    socket.off('close', abortWatch);
    if (outcome.isErr()) return errorResponse(context, outcome.error);
    return context.json({ entries: outcome.value });
  });

  const server = await new Promise<Server>((resolve) => {
    const started = serve({ fetch: app.fetch, hostname: host, port }, () => {
      resolve(started as Server);
    });
  });

  return {
    url: `http://${host}:${(server.address() as AddressInfo).port}`,
    store,
    close: () => new Promise((resolve) => {
      for (const abort of pendingWatches) abort.abort();
      server.close(() => resolve());
      server.closeAllConnections();
    }),
  };
};
