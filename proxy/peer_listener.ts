import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { CancelTask, Clock } from '../clock/mod.ts';
import { requestClasses } from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  attemptId, endToEndHeaders, findHeader, formatLoad, HEAD_PROGRESS_TIMEOUT_MS, hopHeaders,
  type HopRequest, type ProgressTimeouts, encodeRefusal, type RequestLedger,
} from '../forward/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import { createSecretCheck, type TlsMaterial } from '../peer/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  createHttpServer, hasBody, type HttpListener, type HttpServerOptions,
} from '../http/mod.ts';
import { createRequestBody } from './_request_body.ts';
import { createResponseSink, resetConnection } from '../http/mod.ts';
import type { LocalDispatch, LocalUpstream } from './local_dispatch.ts';

/** Dependencies and limits of the peer listener. */
export interface PeerListenerOptions {
  readonly clock: Clock;
  readonly address: string;
  readonly credential: string;
  readonly ledger: RequestLedger;
  readonly dispatch: LocalDispatch;
  readonly findUpstream: (instance: string) => LocalUpstream | undefined;
  readonly logger: Logger;
  /** Key and certificates for mutual TLS; without them connections are plaintext. */
  readonly tls?: TlsMaterial;
  readonly progressTimeouts?: ProgressTimeouts;
  readonly idleGraceMs?: number;
  /** Decides on and records the ends of connections; by default, they are not recorded. */
  readonly ends?: Pick<EndOwner, 'forListener'>;
}

const STEP = 'peer.receive';
const CANCEL_PATH = '/v1/cancel/';
const DEFAULT_IDLE_GRACE_MS = 500;
/** Limit for callers plus room for the headers that the ingress adds. */
const MAX_HEADER_BYTES = 32_768;
const INTERIM_RESPONSES_PER_TIMEOUT = 3;
/** The fleet credential authenticates the peer to this node only. */
const REMOVED_HEADERS = new Set(['authorization']);

const sendJson = (response: ServerResponse, status: number, body: string) => {
  response.writeHead(status, [
    'content-type', 'application/json', 'content-length', String(Buffer.byteLength(body)),
  ]);
  response.end(body);
};

const parseHop = (
  message: IncomingMessage,
  nowMs: number,
  body: Readable | null,
  signal: AbortSignal,
): HopRequest | undefined => {
  const raw = message.rawHeaders;
  const text = (name: string) => findHeader(raw, name) ?? '';
  const requestClass = requestClasses.find((name) => name === text(hopHeaders.requestClass));
  const attempt = Number(text(hopHeaders.attempt));
  const remainingMs = Number(text(hopHeaders.remainingMs));
  const share = Number(text(hopHeaders.share));
  const key = findHeader(raw, hopHeaders.key);
  const requestId = text(hopHeaders.request);
  if (requestClass === undefined || requestId === '') return undefined;
  if (!Number.isInteger(attempt) || !Number.isFinite(remainingMs) || !(share > 0)) return undefined;
  try {
    return {
      requestId,
      attempt,
      customer: text(hopHeaders.customer),
      share,
      requestClass,
      service: text(hopHeaders.service),
      key: key === undefined ? undefined : decodeURIComponent(key),
      instance: text(hopHeaders.instance),
      version: Number(text(hopHeaders.version)),
      deadlineAt: nowMs + remainingMs,
      method: message.method ?? '',
      path: message.url ?? '',
      headers: endToEndHeaders(raw, REMOVED_HEADERS),
      body,
      signal,
    };
  } catch {
    return undefined;
  }
};

/**
 * Creates the listener for requests of other nodes.
 *
 * @param options Dependencies, address and fleet credential.
 * @returns The listener.
 *
 * @example
 * const listener = createPeerListener({ clock, address: '127.0.0.1:0', credential, ...parts });
 * const address = await listener.listen();
 */
export const createPeerListener = (options: PeerListenerOptions): HttpListener => {
  const { clock, ledger, logger } = options;
  const isFleetCredential = createSecretCheck(`Bearer ${options.credential}`);
  const progressTimeouts = options.progressTimeouts ?? HEAD_PROGRESS_TIMEOUT_MS;

  const isAuthorized = (message: IncomingMessage) => (
    isFleetCredential(message.headers.authorization ?? '')
  );

  const cancel = (message: IncomingMessage, response: ServerResponse) => {
    const ageMs = Number(message.headers[hopHeaders.ageMs] ?? Number.NaN);
    const id = (message.url ?? '').slice(CANCEL_PATH.length);
    if (!Number.isFinite(ageMs) || !/^[\w.-]+$/u.test(id)) {
      sendJson(response, 400, '{"reply":"malformed"}');
      return;
    }
    const state = ledger.cancel(id, ageMs);
    logger.info({ request: id, state }, 'peer cancelled a request');
    sendJson(response, 200, JSON.stringify({ reply: state }));
  };

  const sendRefusal = (
    response: ServerResponse,
    id: string,
    refusal: RefusalError,
    load?: string,
  ) => {
    if (response.headersSent || response.destroyed) {
      response.destroy();
      return;
    }
    const headers = [
      ...encodeRefusal(refusal), hopHeaders.request, id, 'content-length', '0',
    ];
    if (load !== undefined) headers.push(hopHeaders.load, load);
    response.writeHead(refusal.status, headers);
    response.end();
  };

  const run = async (request: HopRequest, response: ServerResponse, id: string) => {
    let cancelInterim: CancelTask = () => undefined;
    const intervalMs = progressTimeouts[request.requestClass] / INTERIM_RESPONSES_PER_TIMEOUT;
    const sendInterim = () => {
      if (response.headersSent || response.destroyed) return;
      response.writeProcessing();
      cancelInterim = clock.schedule(intervalMs, sendInterim);
    };
    cancelInterim = clock.schedule(intervalMs, sendInterim);
    const sink = createResponseSink(response, (headers) => {
      const load = options.findUpstream(request.instance)?.admission.load();
      headers.push(hopHeaders.request, id);
      if (load !== undefined) headers.push(hopHeaders.load, formatLoad(load));
    });
    try {
      const end = await options.dispatch(request, sink);
      if (end.kind === 'truncated') resetConnection(response);
      else if (end.kind === 'refused') {
        sendRefusal(response, id, end.refusal, end.load && formatLoad(end.load));
      }
    } finally {
      cancelInterim();
      request.body?.destroy();
      ledger.finish(id);
    }
  };

  const handle: HttpServerOptions['handle'] = (message, response, _, arrivedAt) => {
    if (!isAuthorized(message)) {
      sendJson(response, 401, '{"reply":"unauthorized"}');
      return;
    }
    const requestId = findHeader(message.rawHeaders, hopHeaders.request);
    if (requestId === undefined && message.url?.startsWith(CANCEL_PATH)) {
      cancel(message, response);
      return;
    }
    const abort = new AbortController();
    const body = hasBody(message)
      ? createRequestBody(message, Number.POSITIVE_INFINITY).stream
      : null;
    const request = parseHop(message, arrivedAt, body, abort.signal);
    if (request === undefined) {
      sendRefusal(response, requestId ?? '', new RefusalError('malformed request between nodes', {
        step: STEP, status: 400, outcome: 'not run',
      }));
      return;
    }
    const id = attemptId(request.requestId, request.attempt);
    const registration = ledger.begin(id, () => abort.abort());
    if (registration !== 'begun') {
      sendRefusal(response, id, new RefusalError(`the request was ${registration}`, {
        step: STEP, status: 409, outcome: registration === 'refused' ? 'not run' : 'unknown',
      }));
      return;
    }
    response.once('close', () => {
      if (!response.writableFinished) abort.abort();
    });
    run(request, response, id).catch((error: unknown) => {
      logger.error({ request: id, err: error }, 'request failed unexpectedly');
      response.destroy();
    });
  };

  return createHttpServer({
    clock,
    address: options.address,
    tls: options.tls,
    maxHeaderBytes: MAX_HEADER_BYTES,
    idleGraceMs: options.idleGraceMs ?? DEFAULT_IDLE_GRACE_MS,
    handle,
    ends: options.ends?.forListener('peer', ({ rawHeaders }) => (
      findHeader(rawHeaders, hopHeaders.request)
    )),
    onAcceptError: (error) => logger.error({ err: error }, 'failed to accept a connection'),
    renderMalformed: (status) => (
      `HTTP/1.1 ${status} Malformed\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`
    ),
  });
};
