import type { RetryBudget } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Contract, RouteMatch } from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  type ResponseSink, type AttemptResult, FORWARD_STEP, type Forwarder, type HopRequest,
  type RefusedResult,
} from '../forward/mod.ts';
import type {
  AttemptReport, Router, RouteTarget, RoutingDecision,
} from '../routing/mod.ts';
import { metricNames, type Metrics } from '../telemetry/mod.ts';
import { redirectionRules } from './_redirection.ts';
import type { LocalDispatch } from './local_dispatch.ts';

/** Dependencies and limits of the attempt runner. */
export interface AttemptsOptions {
  readonly clock: Clock;
  readonly router: Router;
  readonly forwarder: Forwarder;
  readonly dispatch: LocalDispatch;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
  /** Largest number of requests that may wait for a placement change. */
  readonly maxWaiting: number;
}

/** A request of a caller with its contract and matched route. */
export interface CallerRequest extends Omit<HopRequest, 'attempt' | 'instance' | 'version'> {
  readonly contract: Contract;
  readonly match: RouteMatch;
}

/** Runs attempts of a request until one delivers a response or no further attempt is allowed. */
export type AttemptRunner = (request: CallerRequest, sink: ResponseSink) => Promise<AttemptResult>;

const STEP = 'ingress.route';

/** State shared by the attempts of one request. */
interface AttemptContext {
  attemptCount: number;
  retryCount: number;
  redirectionCount: number;
  readonly excludedInstances: Set<string>;
  lastRefused: RefusedResult | undefined;
  /** True once an attempt ended as `unknown`; a later `not run` then covers that attempt only. */
  mayHaveRun: boolean;
}

const toRefused = (reason: string, status: number, cause?: unknown): RefusedResult => ({
  kind: 'refused',
  refusal: new RefusalError(reason, {
    step: STEP, status, outcome: 'not run', cause,
  }),
  load: undefined,
  timedOut: false,
});

/** Turns the outcome of the last attempt into the outcome of the whole request. */
const combineOutcomes = (end: AttemptResult, { mayHaveRun }: AttemptContext): AttemptResult => {
  if (!mayHaveRun || end.kind !== 'refused' || end.refusal.outcome === 'unknown') return end;
  const {
    reason, step, peer, status,
  } = end.refusal;
  const refusal = new RefusalError(`${reason}; an earlier attempt may have run`, {
    step, peer, status, outcome: 'unknown', cause: end.refusal,
  });
  return { ...end, refusal };
};

const isTarget = (decision: RoutingDecision): decision is RouteTarget => (
  decision.kind === 'local' || decision.kind === 'peer'
);

/** Returns whether another attempt can send the request: its body must not have been read. */
const canResend = ({ body }: CallerRequest) => (
  body === null || (!body.readableDidRead && !body.destroyed)
);

/** A submission is retried once, if it never reached the peer; others follow the contract. */
const maxRetries = (request: CallerRequest, refusal: RefusalError): number => {
  if (request.requestClass !== 'submission') return request.match.route.retries;
  return refusal.step === FORWARD_STEP && refusal.outcome === 'not run' ? 1 : 0;
};

const reportedOutcome = (end: AttemptResult, signal: AbortSignal): AttemptReport['outcome'] => {
  if (end.kind === 'answered') return end.status >= 500 ? 'failure' : 'success';
  if (signal.aborted) return 'cancelled';
  if (end.kind === 'truncated') return 'failure';
  if (end.timedOut) return 'timeout';
  return end.refusal.outcome === 'not run' ? 'refused' : 'failure';
};

/**
 * Creates the attempt runner, which follows moved keys, retries and hedges.
 *
 * @param options Dependencies and limits.
 * @returns Runs the attempts of one request.
 *
 * @example
 * const runAttempts = createAttemptRunner({ clock, router, forwarder, dispatch, ...limits });
 * const end = await runAttempts(request, sink);
 */
export const createAttemptRunner = (options: AttemptsOptions): AttemptRunner => {
  const {
    clock, router, forwarder, dispatch, retryBudget, metrics,
  } = options;
  let waitingCount = 0;

  const runAttempt = async (
    request: CallerRequest,
    target: RouteTarget,
    number: number,
    signal: AbortSignal,
    sink: ResponseSink,
    context: AttemptContext,
  ): Promise<AttemptResult> => {
    const hop: HopRequest = {
      requestId: request.requestId,
      attempt: number,
      customer: request.customer,
      share: request.share,
      requestClass: request.requestClass,
      service: request.service,
      key: request.key,
      instance: target.instance,
      version: target.version,
      deadlineAt: request.deadlineAt,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      signal,
    };
    const startedAt = clock.now();
    const end = target.kind === 'local'
      ? await dispatch(hop, sink)
      : await forwarder.send(target.peerAddress, hop, sink);
    if (end.kind === 'refused' && end.refusal.outcome === 'unknown') {
      context.mayHaveRun = true;
    }
    router.report({
      service: request.service,
      instance: target.instance,
      requestClass: request.requestClass,
      durationMs: clock.now() - startedAt,
      outcome: reportedOutcome(end, signal),
      load: end.kind === 'truncated' ? undefined : end.load,
    });
    return end;
  };

  const decide = (request: CallerRequest, excluded: ReadonlySet<string>) => router.decide({
    requestId: request.requestId,
    service: request.match.service,
    key: request.key,
    requestClass: request.requestClass,
    excluded,
  });

  const hasRoomToWait = () => waitingCount < options.maxWaiting;

  const awaitNewRecord = async (request: CallerRequest, version: number, limitMs: number) => {
    if (!hasRoomToWait()) return false;
    waitingCount += 1;
    try {
      const remainingMs = request.deadlineAt - clock.now();
      const waitMs = Math.min(remainingMs, limitMs);
      return await router.waitForChange(request.service, version, waitMs, request.signal);
    } finally {
      waitingCount -= 1;
    }
  };

  /** Runs an attempt and, after the hedge delay, one elsewhere; the first response wins. */
  const runHedged = (
    request: CallerRequest,
    target: RouteTarget,
    delayMs: number,
    context: AttemptContext,
    sink: ResponseSink,
  ): Promise<AttemptResult> => new Promise((resolve, reject) => {
    const controllers: AbortController[] = [];
    let winner: AbortController | undefined;
    let runningCount = 0;
    let cancelHedge = () => undefined as void;
    const onAbort = () => {
      for (const controller of controllers) controller.abort();
    };
    request.signal.addEventListener('abort', onAbort);

    const launch = async (to: RouteTarget) => {
      const controller = new AbortController();
      controllers.push(controller);
      if (request.signal.aborted) controller.abort();
      runningCount += 1;
      context.attemptCount += 1;
      const end = await runAttempt(request, to, context.attemptCount, controller.signal, {
        ...sink,
        start: (status, headers) => {
          if (winner !== undefined) return 'cancel';
          winner = controller;
          cancelHedge();
          for (const other of controllers) if (other !== controller) other.abort();
          return sink.start(status, headers);
        },
      }, context);
      runningCount -= 1;
      const isLoser = winner !== undefined && winner !== controller;
      if (isLoser || (winner === undefined && runningCount > 0)) return;
      cancelHedge();
      request.signal.removeEventListener('abort', onAbort);
      resolve(end);
    };

    cancelHedge = clock.schedule(delayMs, () => {
      const excluded = new Set(context.excludedInstances).add(target.instance);
      const other = decide(request, excluded);
      if (!isTarget(other)) return;
      if (!retryBudget.withdraw(request.customer)) return;
      metrics.increment(metricNames.hedges);
      context.excludedInstances.add(other.instance);
      launch(other).catch(reject);
    });
    launch(target).catch(reject);
  });

  const runTarget = (
    request: CallerRequest,
    target: RouteTarget,
    context: AttemptContext,
    sink: ResponseSink,
  ): Promise<AttemptResult> => {
    const { route } = request.match;
    if (route.hedge && request.requestClass === 'lookup' && request.body === null) {
      const delayMs = router.hedgeDelayMs(request.service);
      if (delayMs !== undefined) return runHedged(request, target, delayMs, context, sink);
    }
    context.attemptCount += 1;
    return runAttempt(request, target, context.attemptCount, request.signal, sink, context);
  };

  /** Returns whether another attempt may follow a refusal, after waiting or spending the budget. */
  const prepareNextAttempt = async (
    request: CallerRequest,
    target: RouteTarget,
    end: RefusedResult,
    context: AttemptContext,
  ): Promise<boolean> => {
    const { refusal } = end;
    if (request.signal.aborted || !canResend(request)) return false;
    const rule = redirectionRules[refusal.step];
    if (rule !== undefined && refusal.outcome === 'not run') {
      if (context.redirectionCount >= rule.maxRedirections || !hasRoomToWait()) return false;
      context.redirectionCount += 1;
      await awaitNewRecord(request, target.version, rule.waitMs);
      return true;
    }
    if (context.retryCount >= maxRetries(request, refusal)) return false;
    if (!retryBudget.withdraw(request.customer)) return false;
    context.retryCount += 1;
    // The only owner of a key stays eligible, since the refusal states that it did not run.
    if (request.requestClass !== 'submission') context.excludedInstances.add(target.instance);
    metrics.increment(metricNames.retries);
    return true;
  };

  const run = async (request: CallerRequest, sink: ResponseSink, context: AttemptContext) => {
    retryBudget.deposit(request.customer);
    for (;;) {
      if (clock.now() >= request.deadlineAt) {
        return context.lastRefused ?? toRefused('the deadline has passed', 504);
      }
      const decision = decide(request, context.excludedInstances);
      if (decision.kind === 'none') return context.lastRefused ?? toRefused(decision.reason, 503);
      if (!isTarget(decision)) {
        const changed = await awaitNewRecord(request, decision.version, Number.POSITIVE_INFINITY);
        if (!changed) return context.lastRefused ?? toRefused(decision.reason, 503);
        continue;
      }
      const end = await runTarget(request, decision, context, sink);
      if (end.kind !== 'refused') return end;
      context.lastRefused = end;
      if (!await prepareNextAttempt(request, decision, end, context)) return end;
    }
  };

  return async (request, sink) => {
    const context: AttemptContext = {
      attemptCount: 0,
      retryCount: 0,
      redirectionCount: 0,
      excludedInstances: new Set(),
      lastRefused: undefined,
      mayHaveRun: false,
    };
    return combineOutcomes(await run(request, sink, context), context);
  };
};
