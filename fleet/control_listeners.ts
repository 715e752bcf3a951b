import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type { Clock } from '../clock/mod.ts';
import { createHttpServer, type HttpListener, renderMalformed } from '../http/mod.ts';
import { decodeAnnouncement, encodeAnnouncementAnswer, nodePaths } from '../platform/mod.ts';
import type { Announcement, AnnouncementAnswer } from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

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
  /** Handles an announcement; returns undefined if a newer one has already been handled. */
  readonly announce: (announcement: Announcement) => AnnouncementAnswer | undefined;
  readonly leave: (instance: string) => void;
  readonly metricsText: () => Promise<string>;
}

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

  const readiness = new Hono();
  readiness.get(nodePaths.readiness, (context) => (
    options.isReady() ? context.text('ready') : context.text('not ready', 503)
  ));

  const announcements = new Hono();
  announcements.use(bodyLimit({
    maxSize: MAX_ANNOUNCEMENT_BYTES,
    onError: (context) => {
      logger.warn({ path: context.req.path }, 'rejected an announcement that is too long');
      return context.json({ error: 'the announcement is too long' }, 413);
    },
  }));
  announcements.post(nodePaths.announce, async (context) => {
    const instance = context.req.param('id');
    const announcement = decodeAnnouncement(instance, await context.req.text());
    if (announcement === undefined) {
      logger.warn({ instance }, 'rejected a malformed announcement');
      return context.json({ error: 'the announcement cannot be read' }, 400);
    }
    const answer = options.announce(announcement) ?? { grants: undefined };
    return context.body(encodeAnnouncementAnswer(answer), 200, {
      'content-type': 'application/json',
    });
  });
  announcements.post(nodePaths.leave, (context) => {
    options.leave(context.req.param('id'));
    return context.json({});
  });

  const metrics = new Hono();
  metrics.get('/metrics', async (context) => context.text(await options.metricsText()));

  const listen = (address: string, application: Hono) => {
    const handle = getRequestListener(application.fetch);
    return createHttpServer({
      clock: options.clock,
      address,
      maxHeaderBytes: MAX_HEADER_BYTES,
      idleGraceMs: IDLE_GRACE_MS,
      handle: (request, response) => {
        Promise.resolve(handle(request, response)).catch((error: unknown) => {
          logger.error({ reason: String(error) }, 'failed to handle a control request');
        });
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
