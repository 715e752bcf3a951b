import type { Clock } from '../clock/mod.ts';
import type { AnswerSink } from '../forward/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import type { Target, TargetChooser } from './choose_target.ts';
import type { LocalService } from './local_service.ts';
import type { PeerPort } from './peer_port.ts';
import { type AttemptOutcome, type GatewayRequest, isRepeatable } from './request.ts';
import type { RetryAllowance } from './retry_allowance.ts';

/** Sends requests to instances, again where that is safe and allowed. */
export interface Attempts {
  readonly run: (request: GatewayRequest, maxSends: number, sink: AnswerSink) => (
    Promise<AttemptOutcome>
  );
}

/** Options of attempts. */
export interface AttemptsOptions {
  readonly clock: Clock;
  readonly chooser: TargetChooser;
  readonly local: LocalService;
  readonly peers: PeerPort;
  readonly allowance: RetryAllowance;
  /** Bounds the nodes that are asked after another one has refused; no instance is reached. */
  readonly search: RetryAllowance;
  readonly logger: Logger;
  readonly onRetry?: (service: string, reason: string) => void;
}

/** Nodes that may refuse a request before the caller is told to come back. */
const MAX_NODE_REFUSALS = 3;
/** An attempt with less time than this before the deadline is a send without a chance. */
const MIN_ATTEMPT_MS = 60;
const FIRST_SERVER_ERROR = 500;
/** The instance ran out of time, so another run would too. */
const STATUS_GATEWAY_TIMEOUT = 504;

const reportKind = (outcome: AttemptOutcome, isAborted: boolean) => {
  if (isAborted) return 'cancelled';
  if (outcome.kind === 'answered') {
    return outcome.status < FIRST_SERVER_ERROR ? 'success' : 'failure';
  }
  if (outcome.kind !== 'refused') return 'failure';
  if (outcome.refusal.outcome === 'not run') return 'refused';
  return outcome.refusal.status === STATUS_GATEWAY_TIMEOUT ? 'timeout' : 'failure';
};

/**
 * Creates the attempts of a node. A request that is not repeatable is sent again only while no
 * instance can have run it.
 *
 * @param options Clock, chooser, local service, peers, allowance and logger.
 * @returns The attempts.
 *
 * @example
 * const outcome = await attempts.run(request, route.maxAttempts, sink);
 */
export const createAttempts = (options: AttemptsOptions): Attempts => {
  const { clock, chooser, allowance } = options;
  const logger = options.logger.forPart('routing');

  const sendTo = async (target: Target, request: GatewayRequest, sink: AnswerSink) => {
    if (target.kind === 'local') {
      const outcome = await options.local.handle(request, sink);
      return { outcome, load: options.local.load() };
    }
    return options.peers.send(target.address, request, sink);
  };

  const run: Attempts['run'] = async (request, maxSends, sink) => {
    const { requestId, service, signal } = request;
    const repeatable = isRepeatable(request.kind);
    const excluded = new Set<string>();
    let sends = 0;
    let nodeRefusals = 0;
    let mayHaveRun = false;
    let last: AttemptOutcome | undefined;

    const hasTime = () => request.deadlineAt - clock.now() > MIN_ATTEMPT_MS && !signal.aborted;
    const mayRetry = () => sends < maxSends && hasTime() && allowance.withdraw(service);

    const attemptSink: AnswerSink = {
      ...sink,
      start: (status, headers, endsWithConnection) => {
        const isFailure = status >= FIRST_SERVER_ERROR && status !== STATUS_GATEWAY_TIMEOUT;
        sends += 1;
        if (isFailure && repeatable && mayRetry()) return 'drain';
        return sink.start(status, headers, endsWithConnection);
      },
    };

    allowance.deposit(service);
    options.search.deposit(service);
    for (;;) {
      const target = chooser.choose(request, excluded);
      if (target.kind === 'none') {
        const { reason, retryAfterMs } = target;
        return last ?? refuseNotRun(reason, retryAfterMs, { step: 'routing.choose' });
      }
      const startedAt = clock.now();
      const sendsBefore = sends;
      const { outcome, load } = await sendTo(
        target,
        { ...request, instance: target.instance },
        attemptSink,
      );
      const durationMs = clock.now() - startedAt;
      chooser.report(request, target, {
        durationMs, outcome: reportKind(outcome, signal.aborted), load,
      });
      logger.info({
        request: requestId,
        service,
        key: request.key,
        target: target.node,
        instance: target.instance,
        version: target.version,
        reason: target.reason,
        outcome: outcome.kind,
        ...(outcome.kind === 'refused' ? {
          refusal: outcome.refusal.message, mayHaveRun: outcome.refusal.outcome === 'unknown',
        } : {}),
        durationMs: Math.round(durationMs),
      }, 'made an attempt');
      if (outcome.kind === 'answered' || outcome.kind === 'truncated') return outcome;
      if (outcome.kind === 'failed') {
        mayHaveRun = true;
        options.onRetry?.(service, 'failure');
        if (request.key === undefined) excluded.add(target.instance);
        last = outcome;
        continue;
      }
      const { refusal, reached } = outcome;
      if (refusal.outcome === 'unknown') mayHaveRun = true;
      if (reached && sends === sendsBefore) sends += 1;
      last = mayHaveRun && refusal.outcome === 'not run' && last !== undefined ? last : outcome;
      if (!hasTime() || (mayHaveRun && !repeatable)) return last;
      if (request.key === undefined) excluded.add(target.instance);
      if (reached) {
        if (!mayRetry()) return last;
        options.onRetry?.(service, refusal.outcome);
        continue;
      }
      nodeRefusals += 1;
      // The owner of a key is one; another attempt at once would be refused too.
      if (request.key !== undefined || nodeRefusals >= MAX_NODE_REFUSALS) return last;
      // When a whole service is full, asking more nodes would only multiply the load.
      if (!options.search.withdraw(service)) return last;
    }
  };

  return { run };
};
