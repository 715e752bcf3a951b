import type { Clock } from '../clock/mod.ts';
import {
  createHttpServer, type HttpListener, renderMalformed, resetConnection,
} from '../http/mod.ts';
import {
  decodeAnnouncement, decodeStartTime, encodeAnnouncementAnswer, nodePaths,
} from '../platform/mod.ts';
import type { Announcement, AnnouncementAnswer } from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import {
  type ControlHandler, createControlRouter, jsonResponse, textResponse,
} from './_control_router.ts';

/** Options for {@link createControlListeners}. */
export interface ControlListenersOptions {
  readonly clock: Clock;
  readonly addresses: {
    readonly readiness: string;
    readonly announcements: string;
    readonly metrics: string;
  };
  readonly logger: Logger;
  readonly isReady: () => boolean;
  /**
   * Handles an announcement and resolves once it may be confirmed; to undefined if it is of no use.
   */
  readonly announce: (announcement: Announcement) => Promise<AnnouncementAnswer | undefined>;
  /** Handles a departure and resolves once it may be confirmed. */
  readonly leave: (instance: string, startedAt: number | undefined) => Promise<unknown>;
  readonly metricsText: () => Promise<string>;
}

type Routes = Readonly<Record<string, ControlHandler>>;

const MAX_HEADER_BYTES = 16_384;
/** Far above the size of an announcement with as many ranges as a node ever grants. */
const MAX_ANNOUNCEMENT_BYTES = 1_048_576;
const IDLE_GRACE_MS = 200;

/**
 * Creates the HTTP listeners for readiness checks, announcements of the instance, and metrics.
 *
 * @param options Clock, addresses and handlers.
 * @returns The listeners, in the order in which they must be started.
 *
 * @example
 * for (const listener of createControlListeners(options)) await listener.listen();
 */
export const createControlListeners = (
  options: ControlListenersOptions,
): readonly HttpListener[] => {
  const logger = options.logger.forComponent('announcements');

  const readiness: Routes = {
    [`GET ${nodePaths.readiness}`]: () => (
      options.isReady() ? textResponse('ready') : textResponse('not ready', 503)
    ),
  };

  const announcements: Routes = {
    [`POST ${nodePaths.announce}`]: async ({ parameters, body }) => {
      const instance = parameters.id ?? '';
      const announcement = decodeAnnouncement(instance, body);
      if (announcement === undefined) {
        logger.warn({ instance }, 'rejected a malformed announcement');
        return jsonResponse({ error: 'the announcement cannot be read' }, 400);
      }
      const text = encodeAnnouncementAnswer(await options.announce(announcement) ?? {
        grants: undefined,
      });
      return { status: 200, contentType: 'application/json', text };
    },
    [`POST ${nodePaths.leave}`]: async ({ parameters, body }) => {
      await options.leave(parameters.id ?? '', decodeStartTime(body));
      return jsonResponse({});
    },
  };

  const metrics: Routes = {
    'GET /metrics': async () => textResponse(await options.metricsText()),
  };

  const rejectTooLong = (path: string) => {
    logger.warn({ path }, 'rejected an announcement that is too long');
    return jsonResponse({ error: 'the announcement is too long' }, 413);
  };

  const listen = (address: string, routes: Routes) => {
    const handle = createControlRouter({
      clock: options.clock,
      routes,
      maxBodyBytes: MAX_ANNOUNCEMENT_BYTES,
      onTooLong: rejectTooLong,
    });
    return createHttpServer({
      clock: options.clock,
      address,
      maxHeaderBytes: MAX_HEADER_BYTES,
      idleGraceMs: IDLE_GRACE_MS,
      handle: (request, response, expect) => {
        if (expect === 'continue') response.writeContinue();
        handle(request, response).catch((error: unknown) => {
          logger.error({ reason: String(error) }, 'failed to handle a control request');
          if (response.headersSent) resetConnection(response);
          else response.writeHead(500, { 'content-length': 0 }).end();
        });
      },
      onAcceptError: (error) => {
        logger.error({ address, reason: String(error) }, 'failed to accept a connection');
      },
      renderMalformed,
    });
  };

  return [
    listen(options.addresses.announcements, announcements),
    listen(options.addresses.metrics, metrics),
    listen(options.addresses.readiness, readiness),
  ];
};
