import type { HttpServerOptions } from '../http/mod.ts';
import { type EndOwner, unrecordedEnds } from '../lifecycle/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { firstHeaderValue } from './_http_messages.ts';

/** Options of {@link createListenerEnds}. */
export interface ListenerEndsOptions {
  /** Owner of the ends; by default, they are not recorded. */
  readonly ends?: Pick<EndOwner, 'forListener'> | undefined;
  readonly logger: Logger;
  /** Lower-case name of the header that carries the request identifier. */
  readonly requestIdHeader: string;
}

/** Creates the part of a listener's options that concerns the ends of its connections. */
export const createListenerEnds = (
  listener: string,
  { ends, logger, requestIdHeader }: ListenerEndsOptions,
): Required<Pick<HttpServerOptions, 'ends' | 'onAcceptError' | 'onHandleError'>> => ({
  ends: ends?.forListener(listener, (message) => firstHeaderValue(message, requestIdHeader))
    ?? unrecordedEnds,
  onHandleError: (error, message) => {
    const request = firstHeaderValue(message, requestIdHeader);
    logger.error({ listener, request, reason: String(error) }, 'failed to handle request');
  },
  onAcceptError: (error) => {
    logger.error({ listener, reason: String(error) }, 'failed to accept a connection');
  },
});
