import type { IncomingMessage } from 'node:http';
import type { CallDetector, RequestOrigin } from '../admission/mod.ts';

/** Who sent a request, as far as it is known. */
export interface KnownOrigin {
  readonly origin: RequestOrigin;
  /** Whether the request certainly comes from a run of the instance of this host. */
  readonly isProvenCall: boolean;
}

/**
 * Classifies a request and learns from it; to be called once for each request. Without a detector,
 * the origin is `unsure`.
 *
 * @param callDetector The detector, if there is one.
 * @param message The request.
 * @param route Name of its route.
 * @param deadlineAt Monotonic time in ms by which its sender wants a response.
 * @returns The origin, and whether it is proven to be a call.
 */
export const findOrigin = (
  callDetector: Pick<CallDetector, 'classify' | 'isProven'> | undefined,
  { socket }: IncomingMessage,
  route: string,
  deadlineAt: number,
): KnownOrigin => {
  const request = {
    connection: socket, remoteAddress: socket.remoteAddress, route, deadlineAt,
  };
  const origin = callDetector?.classify(request) ?? 'unsure';
  return { origin, isProvenCall: origin === 'call' && callDetector?.isProven(request) === true };
};
