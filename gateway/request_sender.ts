import type { AdmissionLoad } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { startAttempt } from './_attempt.ts';
import { type AttemptRace, createAttemptRace } from './_attempt_race.ts';
import { createHeldErrors, type HeldError } from './_held_errors.ts';
import {
  isOverloaded, mergeOutcomes, reportedOutcome, UNSENT,
} from './_attempt_outcomes.ts';
import { createTargetGate, refuseNoTarget, refuseThrottled } from './_target_gate.ts';
import type { Target, TargetChooser } from './target_chooser.ts';
import type { LocalForwarder } from './local_forwarder.ts';
import type { PeerClient } from './peer_client.ts';
import { attemptFields, outcomeFields } from './_log_fields.ts';
import { type AttemptOutcome, type GatewayRequest, isIdempotent } from './request.ts';
import type { ServiceRetryBudget } from './service_retry_budget.ts';
import { createTargetThrottle } from './target_throttle.ts';

/** Sends requests to instances, with retries where they are safe and within budget. */
export interface RequestSender {
  /**
   * Sends a request until it is answered or no further attempt is allowed.
   *
   * @param request The request.
   * @param maxSends Maximum number of times that an instance may receive the request.
   * @param sink Receives the response.
   * @returns How the request ended; for a refusal or failure, nothing was delivered to the sink.
   */
  readonly send: (request: GatewayRequest, maxSends: number, sink: ResponseSink) => (
    Promise<AttemptOutcome>
  );
  /**
   * Refuses a request with a key whose owner cannot take it now, before its body is read. The
   * throttle lets a request pass that is not refused, and is not to be asked again in `send`.
   */
  readonly refuseEarly: (request: Omit<GatewayRequest, 'body'>) => (
    Extract<AttemptOutcome, { kind: 'refused' }> | undefined
  );
}

/** Options of the request sender. */
export interface RequestSenderOptions {
  readonly clock: Clock;
  readonly chooser: TargetChooser;
  readonly local: LocalForwarder;
  readonly peers: PeerClient;
  /** Budget of retries after an instance received the request. */
  readonly retryBudget: ServiceRetryBudget;
  /** Budget of attempts at further nodes after a node refused before reaching its instance. */
  readonly failoverBudget: ServiceRetryBudget;
  readonly logger: Logger;
  /** Returns uniform numbers from 0 to less than 1; `Math.random` by default. */
  readonly random?: () => number;
  /** Called with each load report of an instance of the service. */
  readonly onLoad?: (service: string, load: AdmissionLoad) => void;
  readonly onRetry?: (service: string, reason: string) => void;
  /** Called at the end of each attempt with its result and its duration in ms. */
  readonly onAttempt?: (target: Target, outcome: string, durationMs: number) => void;
}

/** Nodes that may refuse a request before the caller gets the refusal with its Retry-After. */
const MAX_NODE_REFUSALS = 3;
/** An attempt that starts with less time to the deadline cannot succeed. */
const MIN_ATTEMPT_MS = 60;
/** Bytes of error responses that are held while their requests are tried again. */
const MAX_HELD_BYTES = 1_048_576;
/** Leaves room for the errors of other requests beside one whose body has no end. */
const MAX_ERROR_BYTES = 262_144;

/**
 * Creates the sender of a node. A request that is not idempotent is retried only while no instance
 * can have run it.
 *
 * @param options Clock, target chooser, local and remote destinations, retry budgets and logger.
 * @returns The sender.
 *
 * @example
 * const outcome = await sender.send(request, route.maxAttempts, sink);
 */
export const createRequestSender = (options: RequestSenderOptions): RequestSender => {
  const { clock, chooser, retryBudget } = options;
  const logger = options.logger.forComponent('routing');
  const openHeldError = createHeldErrors(MAX_HELD_BYTES, MAX_ERROR_BYTES);
  const throttle = createTargetThrottle({ clock, random: options.random ?? Math.random });
  const { isCounted: isThrottled, refuseEarly } = createTargetGate({
    clock, chooser, throttle, retryBudget,
  });

  /**
   * Makes attempts one after the other. Those that go silent go on in `silentAttempts`, and errors
   * whose retry has begun are read on in `errorBodies`.
   */
  const sendInTurn = async (
    request: GatewayRequest,
    maxSends: number,
    sink: ResponseSink,
    race: AttemptRace,
    silentAttempts: Promise<AttemptOutcome>[],
    heldError: HeldError,
    errorBodies: Promise<void>[],
  ): Promise<AttemptOutcome | undefined> => {
    const { service, signal } = request;
    const idempotent = isIdempotent(request.kind);
    const excluded = new Set<string>();
    /** Instances that refused the request, which must not receive its identifier again. */
    const refusedBy = new Set<string>();
    let sends = 0;
    let nodeRefusals = 0;
    let mayHaveRun = false;
    let lastOutcome: AttemptOutcome | undefined;

    const hasTime = () => (
      request.deadlineAt - clock.now() > MIN_ATTEMPT_MS && !signal.aborted && !race.isWon()
    );
    const mayRetry = () => sends < maxSends && hasTime() && retryBudget.withdraw(service);

    const recordLoad = (target: Target, load: AdmissionLoad | undefined) => {
      if (load === undefined) return;
      options.onLoad?.(service, load);
      if (target.kind === 'peer') throttle.recordExcess(target.instance, load.excess);
    };

    const recordHead = (isServerError: boolean) => {
      sends += 1;
      return isServerError && idempotent && mayRetry();
    };

    retryBudget.deposit(service);
    options.failoverBudget.deposit(service);
    for (;;) {
      const target = chooser.choose(request, excluded);
      if (target.kind === 'none') return lastOutcome ?? refuseNoTarget(target);
      // A late copy of the first refusal would be taken for that of a second run.
      if (!idempotent && refusedBy.has(target.instance)) {
        chooser.report(request, target, UNSENT);
        return lastOutcome;
      }
      const startedAt = clock.now();
      const isLate = request.latencyTargetAt <= startedAt;
      const isCounted = isThrottled(request, target);
      const isAsked = isCounted && request.isAdmitted !== true;
      if (isAsked && !throttle.admit(target.instance, isLate, request.priority)) {
        const { instance } = target;
        chooser.report(request, target, UNSENT);
        lastOutcome ??= refuseThrottled(instance, request.deadlineAt, startedAt);
        excluded.add(instance);
        nodeRefusals += 1;
        if (request.key !== undefined || nodeRefusals >= MAX_NODE_REFUSALS) return lastOutcome;
        continue;
      }
      const recordEnd = (outcome: AttemptOutcome) => {
        if (isCounted) throttle.recordEnd(target.instance, isLate, !isOverloaded(outcome));
      };
      const sendsBefore = sends;
      const withheld = isCounted ? throttle.takeWithheld(target.instance, isLate) : 0;
      const attempt = startAttempt(options, target, { ...request, withheld }, {
        race, heldError, sink, recordHead,
      });
      const result = await Promise.race([attempt.ended, attempt.silence, attempt.slowError]);
      attempt.cancelSlowError();
      const durationMs = clock.now() - startedAt;
      const fields = attemptFields(request, target, durationMs);
      if (typeof result === 'string') {
        mayHaveRun = true;
        if (sends === sendsBefore) sends += 1;
        const silentOutcome = attempt.ended.then(({ outcome }) => {
          attempt.forfeit();
          recordEnd(outcome);
          return outcome;
        });
        silentOutcome.catch(() => undefined);
        silentAttempts.push(silentOutcome);
        chooser.report(request, target, { durationMs, outcome: 'failure', load: undefined });
        logger.info(fields, `waiting for a silent ${result}`);
        // A key has one owner, and its node may be about to read the request.
        const mayAsk = idempotent && (request.key === undefined || result === 'instance');
        if (!mayAsk || !mayRetry()) return lastOutcome;
        options.onRetry?.(service, 'silence');
        if (request.key === undefined) excluded.add(target.instance);
        continue;
      }
      const { outcome, load } = result;
      const headAt = attempt.headAt();
      const reported = reportedOutcome(outcome, attempt.signal.aborted);
      recordEnd(outcome);
      recordLoad(target, load);
      chooser.report(request, target, { durationMs, outcome: reported, load });
      logger.info({
        ...fields,
        ...outcomeFields(outcome),
        headMs: headAt === undefined ? undefined : Math.round(headAt - startedAt),
      }, 'attempt finished');
      options.onAttempt?.(target, reported, durationMs);
      if (outcome.kind === 'answered' || outcome.kind === 'truncated') return outcome;
      attempt.forfeit();
      if (outcome.kind === 'failed') {
        mayHaveRun = true;
        lastOutcome = outcome;
        if (!attempt.isRetryGranted()) return lastOutcome;
        errorBodies.push(attempt.ended.then((end) => {
          if (end !== result) recordLoad(target, end.load);
        }).catch((error: unknown) => logger.warn({ ...fields, error }, 'error body not read')));
        options.onRetry?.(service, 'failure');
        if (request.key === undefined) excluded.add(target.instance);
        continue;
      }
      const { refusal, reachedInstance } = outcome;
      if (refusal.outcome === 'unknown') mayHaveRun = true;
      if (reachedInstance && sends === sendsBefore) sends += 1;
      lastOutcome = mayHaveRun && refusal.outcome === 'not run' && lastOutcome !== undefined
        ? lastOutcome
        : outcome;
      if (!hasTime() || (mayHaveRun && !idempotent)) return lastOutcome;
      if (request.key === undefined) excluded.add(target.instance);
      if (reachedInstance) {
        refusedBy.add(target.instance);
        if (!mayRetry()) return lastOutcome;
        options.onRetry?.(service, refusal.outcome);
        continue;
      }
      nodeRefusals += 1;
      // A key has one owner, which would refuse an immediate second attempt too.
      if (request.key !== undefined || nodeRefusals >= MAX_NODE_REFUSALS) return lastOutcome;
      // When the whole service is overloaded, trying more nodes would only multiply the load.
      if (!options.failoverBudget.withdraw(service)) return lastOutcome;
    }
  };

  const send: RequestSender['send'] = async (request, maxSends, sink) => {
    const silentAttempts: Promise<AttemptOutcome>[] = [];
    const race = createAttemptRace(request.signal, sink);
    const heldError = openHeldError();
    const errorBodies: Promise<void>[] = [];
    try {
      let lastOutcome = await sendInTurn(
        request,
        maxSends,
        sink,
        race,
        silentAttempts,
        heldError,
        errorBodies,
      );
      for (const silentAttempt of silentAttempts) {
        if (lastOutcome?.kind === 'answered' || lastOutcome?.kind === 'truncated') break;
        lastOutcome = mergeOutcomes(lastOutcome, await silentAttempt);
      }
      if (lastOutcome?.kind === 'answered' || lastOutcome?.kind === 'truncated') return lastOutcome;
      await Promise.race([heldError.isHeld, Promise.all(errorBodies)]);
      return heldError.deliver(sink) ?? lastOutcome!;
    } finally {
      heldError.release();
      race.close();
    }
  };

  return { send, refuseEarly };
};
