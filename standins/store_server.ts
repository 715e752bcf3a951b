import { serve, type HttpBindings } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from '../clock/mod.ts';
import type { StoreError, StoreErrorKind } from '../errors/mod.ts';
import { createMemoryStore, MAX_VALUE_BYTES, type MemoryStore } from '../store/mod.ts';

/** Options of the store stand-in. */
export interface StoreServerOptions {
  readonly clock: Clock;
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
  /** Bearer token that every call must carry. */
  readonly credential?: string;
  /** Most watches that wait at the same time. */
  readonly maxWatches?: number;
}

/** A running store stand-in. */
export interface StoreServer {
  readonly url: string;
  /** The store behind the server, with its faults: down, slow, reply lost after the write. */
  readonly store: MemoryStore;
  readonly close: () => Promise<void>;
}

type StoreContext = Context<{ Bindings: HttpBindings }>;

const DEFAULT_MAX_WATCHES = 256;
const MAX_WAIT_MS = 60_000;

const statusOfKind = {
  conflict: 409,
  unavailable: 503,
  unknown: 500,
  'too-large': 413,
  compacted: 410,
  'lease-ended': 404,
} as const satisfies Record<StoreErrorKind, number>;

const numberOf = (context: StoreContext, name: string) => Number(context.req.query(name) ?? 0);

const respondFailure = (context: StoreContext, { kind, reason }: StoreError) => {
  // A lost reply ends the connection without a response, as a broken network does.
  if (kind === 'unknown') context.env.incoming.socket.destroy();
  return context.json({ kind, reason }, statusOfKind[kind]);
};

/**
 * Starts a stand-in of the platform's key-value service over an in-memory store.
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
  const waiting = new Set<AbortController>();
  const app = new Hono<{ Bindings: HttpBindings }>();

  app.use(async (context, next) => {
    const given = context.req.header('authorization');
    if (credential === undefined || given === `Bearer ${credential}`) return next();
    return context.json({ error: 'wrong credential' }, 401);
  });

  app.get('/v1/entry', async (context) => {
    const outcome = await store.get(context.req.query('key') ?? '');
    if (outcome.isErr()) return respondFailure(context, outcome.error);
    return context.json({ entry: outcome.value ?? null });
  });

  app.get('/v1/entries', async (context) => {
    const outcome = await store.list(context.req.query('prefix') ?? '');
    if (outcome.isErr()) return respondFailure(context, outcome.error);
    return context.json({ entries: outcome.value });
  });

  const tooLarge = (context: Context) => context.json({
    kind: 'too-large', reason: `the value exceeds ${MAX_VALUE_BYTES} bytes`,
  }, 413);

  app.put(
    '/v1/entry',
    bodyLimit({ maxSize: MAX_VALUE_BYTES, onError: tooLarge }),
    async (context) => {
      const key = context.req.query('key') ?? '';
      const value = await context.req.text();
      const outcome = await store.compareAndSwap(key, numberOf(context, 'expected'), value);
      if (outcome.isErr()) return respondFailure(context, outcome.error);
      return context.json({ revision: outcome.value });
    },
  );

  app.get('/v1/watch', async (context) => {
    if (waiting.size >= maxWatches) {
      return context.json({ kind: 'unavailable', reason: 'too many waiting watches' }, 503);
    }
    const abort = new AbortController();
    const waitMs = Math.min(MAX_WAIT_MS, Math.max(0, numberOf(context, 'wait')));
    const endWait = () => abort.abort();
    const cancelWait = clock.schedule(waitMs, endWait);
    const { socket } = context.env.incoming;
    socket.once('close', endWait);
    waiting.add(abort);
    const prefix = context.req.query('prefix') ?? '';
    const outcome = await store.watch(prefix, numberOf(context, 'after'), { signal: abort.signal });
    waiting.delete(abort);
    cancelWait();
    socket.off('close', endWait);
    if (outcome.isErr()) return respondFailure(context, outcome.error);
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
      for (const abort of waiting) abort.abort();
      server.close(() => resolve());
      server.closeAllConnections();
    }),
  };
};
