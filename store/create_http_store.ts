import { err, ok, type Result } from 'neverthrow';
import { Agent, errors, request } from 'undici';
import * as z from 'zod';
import { readStreamText } from '../bytes/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { StoreError, type StoreErrorKind } from '../errors/mod.ts';
import type { Store } from './store.ts';

/** Options for `createHttpStore`. */
export interface HttpStoreOptions {
  readonly clock: Clock;
  /** Base URL, for example `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Bearer token sent with every call. */
  readonly credential?: string;
  /** Timeout in ms of each call other than a watch. */
  readonly callTimeoutMs?: number;
  /** Maximum time in ms that the server holds one long poll of a watch. */
  readonly watchWaitMs?: number;
}

/** A store that is accessed over HTTP. */
export interface HttpStore extends Store {
  /** Closes the connections; waiting watches fail with `unavailable`. */
  readonly close: () => Promise<void>;
}

interface Call {
  readonly step: string;
  readonly method: 'GET' | 'PUT';
  readonly path: string;
  readonly query: Readonly<Record<string, string | number>>;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

const DEFAULT_CALL_TIMEOUT_MS = 2000;
const DEFAULT_WATCH_WAIT_MS = 30_000;
const WATCH_TIMEOUT_MARGIN_MS = 2000;
const MAX_CONNECTIONS = 8;
/** Leaves room for a list of many values of the maximum size, 1 MiB. */
const MAX_RESPONSE_BYTES = 67_108_864;

const entrySchema = z.object({ key: z.string(), revision: z.number(), value: z.string() });
const getSchema = z.object({ entry: entrySchema.nullable() });
const listSchema = z.object({ entries: z.array(entrySchema) });
const swapSchema = z.object({ revision: z.number() });
const failureSchema = z.object({
  kind: z.enum(['conflict', 'unavailable', 'unknown', 'too-large']),
  reason: z.string(),
});

/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_CODES = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN',
  new errors.ConnectTimeoutError().code,
]);

const transportErrorKind = (call: Call, cause: unknown): StoreErrorKind => {
  if (call.method === 'GET') return 'unavailable';
  const code = (cause as { readonly code?: unknown } | undefined)?.code;
  return typeof code === 'string' && UNSENT_CODES.has(code) ? 'unavailable' : 'unknown';
};

/** A write that failed with a 4xx status had no effect; after a 5xx its outcome is unknown. */
const statusErrorKind = (call: Call, status: number): StoreErrorKind => (
  call.method === 'PUT' && status >= 500 ? 'unknown' : 'unavailable'
);

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Creates a client of a key-value service with the project's HTTP protocol:
 * `GET /v1/entry?key`, `GET /v1/entries?prefix`, `PUT /v1/entry?key&expected` with the value as
 * body, and the long poll `GET /v1/watch?prefix&after&wait`.
 *
 * @param options The base URL, the credential and time limits in ms.
 * @returns The store. A write fails with `unknown` if the transport fails after the request may
 *   have been sent.
 *
 * @example
 * const store = createHttpStore({ clock, url: 'http://127.0.0.1:7000' });
 * const entry = await store.get('contracts/acme');
 */
export const createHttpStore = (options: HttpStoreOptions): HttpStore => {
  const { clock, url } = options;
  const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const watchWaitMs = options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
  const dispatcher = new Agent({
    connections: MAX_CONNECTIONS, pipelining: 1, maxResponseSize: MAX_RESPONSE_BYTES,
  });
  // Watches use separate connections, so that long polls never block other calls.
  const watchDispatcher = new Agent({ pipelining: 1, maxResponseSize: MAX_RESPONSE_BYTES });
  const headers = {
    'content-type': 'text/plain; charset=utf-8',
    ...(options.credential === undefined
      ? {}
      : { authorization: `Bearer ${options.credential}` }),
  };

  const fail = (call: Call, kind: StoreErrorKind, reason: string, cause?: unknown) => (
    err(new StoreError(kind, reason, { step: call.step, peer: url, cause }))
  );

  const sendRequest = async (call: Call, signal: AbortSignal) => {
    const query = new URLSearchParams(
      Object.entries(call.query).map(([name, value]): [string, string] => [name, String(value)]),
    );
    const response = await request(`${url}${call.path}?${query.toString()}`, {
      method: call.method,
      headers,
      body: call.body ?? null,
      signal,
      // The abort signal enforces the timeout of the call.
      headersTimeout: 0,
      bodyTimeout: 0,
      dispatcher: call.path === '/v1/watch' ? watchDispatcher : dispatcher,
    });
    const text = await readStreamText(response.body, MAX_RESPONSE_BYTES);
    return { status: response.statusCode, text };
  };

  const performCall = async <T>(
    call: Call,
    schema: z.ZodType<T>,
  ): Promise<Result<T, StoreError>> => {
    const abort = new AbortController();
    const onAbort = () => abort.abort();
    const cancelTimeout = clock.schedule(call.timeoutMs, onAbort);
    call.signal?.addEventListener('abort', onAbort, { once: true });
    if (call.signal?.aborted) onAbort();
    try {
      const { status, text } = await sendRequest(call, abort.signal);
      const json = parseJson(text);
      if (status === 200) {
        const parsed = schema.safeParse(json);
        if (parsed.success) return ok(parsed.data);
        const kind = call.method === 'PUT' ? 'unknown' : 'unavailable';
        return fail(call, kind, 'the response does not follow the protocol', parsed.error);
      }
      const failure = failureSchema.safeParse(json);
      if (failure.success) return fail(call, failure.data.kind, failure.data.reason);
      return fail(
        call,
        statusErrorKind(call, status),
        `the store responded with status ${status}`,
      );
    } catch (cause) {
      const reason = abort.signal.aborted
        ? `no response within ${call.timeoutMs} ms`
        : `the call failed: ${cause instanceof Error ? cause.message : String(cause)}`;
      return fail(call, transportErrorKind(call, cause), reason, cause);
    } finally {
      cancelTimeout();
      call.signal?.removeEventListener('abort', onAbort);
    }
  };

  const watch: Store['watch'] = async (prefix, afterRevision, { signal } = {}) => {
    while (!signal?.aborted) {
      const outcome = await performCall({
        step: 'store.watch',
        method: 'GET',
        path: '/v1/watch',
        query: { prefix, after: afterRevision, wait: watchWaitMs },
        timeoutMs: watchWaitMs + WATCH_TIMEOUT_MARGIN_MS,
        signal,
      }, listSchema);
      if (signal?.aborted) break;
      if (outcome.isErr()) return err(outcome.error);
      if (outcome.value.entries.length > 0) return ok(outcome.value.entries);
    }
    return ok([]);
  };

  return {
    get: async (key) => {
      const outcome = await performCall({
        step: 'store.get',
        method: 'GET',
        path: '/v1/entry',
        query: { key },
        timeoutMs: callTimeoutMs,
      }, getSchema);
      return outcome.map(({ entry }) => entry ?? undefined);
    },
    list: async (prefix) => {
      const outcome = await performCall({
        step: 'store.list',
        method: 'GET',
        path: '/v1/entries',
        query: { prefix },
        timeoutMs: callTimeoutMs,
      }, listSchema);
      return outcome.map(({ entries }) => entries);
    },
    compareAndSwap: async (key, expectedRevision, value) => {
      const outcome = await performCall({
        step: 'store.compareAndSwap',
        method: 'PUT',
        path: '/v1/entry',
        query: { key, expected: expectedRevision },
        body: value,
        timeoutMs: callTimeoutMs,
      }, swapSchema);
      return outcome.map(({ revision }) => revision);
    },
    watch,
    close: async () => {
      await Promise.all([dispatcher.destroy(), watchDispatcher.destroy()]);
    },
  };
};
