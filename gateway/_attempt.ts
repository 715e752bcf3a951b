import type { CancelTask, Clock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import type { AttemptRace } from './_attempt_race.ts';
import type { ErrorReader, HeldError } from './_held_errors.ts';
import type { LocalForwarder } from './local_forwarder.ts';
import type { PeerClient, PeerSendResult, SilentPart } from './peer_client.ts';
import type { GatewayRequest } from './request.ts';
import type { Target } from './target_chooser.ts';

/** Destinations of the attempts. */
export interface AttemptOptions {
  readonly clock: Clock;
  readonly local: LocalForwarder;
  readonly peers: PeerClient;
}

/** What the attempts of one request share. */
export interface AttemptContext {
  readonly race: AttemptRace;
  readonly heldError: HeldError;
  /** Receives the response. */
  readonly sink: ResponseSink;
  /**
   * Called at the head of a response of an attempt that was not silent before; returns whether the
   * request is tried again in place of the delivery of an error.
   */
  readonly recordHead: (isServerError: boolean) => boolean;
}

/** An attempt that has been started. */
export interface Attempt {
  /** Resolves when the attempt has ended, and its error if there is one has been read. */
  readonly ended: Promise<PeerSendResult>;
  /** Resolves when a part of the path seems not to answer; the attempt goes on. */
  readonly silence: Promise<SilentPart>;
  /** Resolves when a retry is due before the error has been read; the attempt goes on. */
  readonly slowError: Promise<PeerSendResult>;
  readonly signal: AbortSignal;
  /** Records that the attempt failed before a part of its body had arrived. */
  readonly forfeit: () => void;
  /** Returns the time of the head, in ms of the monotonic clock; undefined if none has come. */
  readonly headAt: () => number | undefined;
  readonly isRetryGranted: () => boolean;
  /** Ends the wait for a slow error. */
  readonly cancelSlowError: () => void;
}

const FIRST_SERVER_ERROR = 500;
/** Not retried: the instance ran out of time, so another run would too. */
const STATUS_GATEWAY_TIMEOUT = 504;
/** Time in ms in which most errors end, after which a retry does not wait for the body. */
const ERROR_BODY_MS = 100;

/**
 * Starts one attempt of a request. The error of an instance is held if the request is tried again.
 *
 * @param options Clock and destinations.
 * @param target Where to send the request.
 * @param request The request.
 * @param context What the attempts of the request share.
 * @returns The attempt.
 *
 * @example
 * const attempt = startAttempt({ clock, local, peers }, target, request, context);
 * const result = await Promise.race([attempt.ended, attempt.silence, attempt.slowError]);
 */
export const startAttempt = (
  options: AttemptOptions,
  target: Exclude<Target, { kind: 'none' }>,
  request: GatewayRequest,
  context: AttemptContext,
): Attempt => {
  const { clock, local, peers } = options;
  const { race, heldError, sink } = context;
  let isSilent = false;
  let headAt: number | undefined;
  let errorReader: ErrorReader | undefined;
  let isRetryGranted = false;
  let reportSilence = (_part: SilentPart) => undefined as void;
  let reportSlowError = (_result: PeerSendResult) => undefined as void;
  let cancelSlowError: CancelTask = () => undefined;
  const silence = new Promise<SilentPart>((resolve) => {
    reportSilence = resolve;
  });
  const slowError = new Promise<PeerSendResult>((resolve) => {
    reportSlowError = resolve;
  });
  const onSilent = (part: SilentPart) => {
    isSilent = true;
    reportSilence(part);
  };
  const attempt = race.enter({
    start: (status, headers) => {
      const isServerError = status >= FIRST_SERVER_ERROR && status !== STATUS_GATEWAY_TIMEOUT;
      headAt = clock.now();
      if (!isSilent) isRetryGranted = context.recordHead(isServerError);
      // An error does not take the place of a response that another attempt has begun.
      if (!isServerError || !(isRetryGranted || race.isWon())) return sink.start(status, headers);
      errorReader = heldError.read({ status, headers });
      if (isRetryGranted) {
        cancelSlowError = clock.schedule(ERROR_BODY_MS, () => {
          reportSlowError({ outcome: { kind: 'failed', status }, load: undefined });
        });
      }
      return 'hold';
    },
    hold: (chunk) => errorReader?.write(chunk) === true,
    held: () => errorReader?.end(),
  });

  const send = async () => {
    const sent = { ...request, instance: target.instance, signal: attempt.signal };
    if (target.kind === 'peer') {
      return peers.send(target.address, sent, attempt.sink, onSilent);
    }
    const outcome = await local.forward(sent, attempt.sink, () => onSilent('instance'));
    return { outcome, load: local.load() };
  };

  return {
    ended: send(),
    silence,
    slowError,
    signal: attempt.signal,
    forfeit: attempt.forfeit,
    headAt: () => headAt,
    isRetryGranted: () => isRetryGranted,
    cancelSlowError: () => cancelSlowError(),
  };
};
