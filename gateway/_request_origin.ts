import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallDetector, RequestOrigin } from '../admission/mod.ts';

/** Who sent a request, as far as it is known. */
export interface KnownOrigin {
  readonly origin: RequestOrigin;
  /** Whether the request certainly comes from a run of the instance of this host. */
  readonly isProvenCall: boolean;
}

/**
 * Classifies a request and learns from it and from the end of its response; to be called once for
 * each request. Without a detector, the origin is `unsure`.
 *
 * @param callDetector The detector, if there is one.
 * @param message The request.
 * @param response Its response.
 * @param route Name of its route.
 * @param deadlineAt Monotonic time in ms by which its sender wants a response.
 * @returns The origin, and whether it is proven to be a call.
 */
export const findOrigin = (
  callDetector: Pick<CallDetector, 'classify' | 'isProven' | 'trackResponse'> | undefined,
  { socket }: IncomingMessage,
  response: ServerResponse,
  route: string,
  deadlineAt: number,
): KnownOrigin => {
  const request = {
    connection: socket, remoteAddress: socket.remoteAddress, route, deadlineAt,
  };
  if (callDetector === undefined) return { origin: 'unsure', isProvenCall: false };
  const origin = callDetector.classify(request);
  const endResponse = callDetector.trackResponse(request);
  response.once('close', () => endResponse(response.writableFinished));
  return { origin, isProvenCall: origin === 'call' && callDetector.isProven(request) };
};
