import type { RetryBudget } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { Contract, RouteMatch } from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  type AnswerSink, type AttemptEnd, FORWARD_STEP, type Forwarder, type HopRequest,
  type RefusedEnd,
} from '../forward/mod.ts';
import type {
  AttemptReport, Router, RouteTarget, RoutingDecision,
} from '../routing/mod.ts';
import { metricNames, type Metrics } from '../telemetry/mod.ts';
import { redirectionRules } from './_redirection.ts';
import type { LocalDispatch } from './local_dispatch.ts';

/** Collaborators of the attempts of a request. */
export interface AttemptsOptions {
  readonly clock: Clock;
  readonly router: Router;
  readonly forwarder: Forwarder;
  readonly dispatch: LocalDispatch;
  readonly retryBudget: RetryBudget;
  readonly metrics: Metrics;
  /** Largest number of requests that wait for a placement change. */
  readonly maxWaiting: number;
}

/** A request of a caller on its way through the ingress. */
export interface CallerRequest extends Omit<HopRequest, 'attempt' | 'instance' | 'version'> {
  readonly contract: Contract;
  readonly match: RouteMatch;
}

/** Runs the attempts of a request until one delivers an answer or none is left. */
export type RunAttempts = (request: CallerRequest, sink: AnswerSink) => Promise<AttemptEnd>;

const STEP = 'ingress.route';

/** State of the attempts of one request. */
interface AttemptContext {
  attempts: number;
  retries: number;
  redirections: number;
  readonly excluded: Set<string>;
  last: RefusedEnd | undefined;
  /** An attempt ended as `unknown`, so a later `not run` does not hold for the whole request. */
  mayHaveRun: boolean;
}

const refuse = (reason: string, status: number, cause?: unknown): RefusedEnd => ({
  kind: 'refused',
  refusal: new RefusalError(reason, {
    step: STEP, status, outcome: 'not run', cause,
  }),
  load: undefined,
  timedOut: false,
});

/** The outcome that the caller receives holds for all attempts together. */
const settleOutcome = (end: AttemptEnd, { mayHaveRun }: AttemptContext): AttemptEnd => {
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

/** A body that has not been read can be sent by another attempt. */
const canSendAgain = ({ body }: CallerRequest) => (
  body === null || (!body.readableDidRead && !body.destroyed)
);

/** A submission that never reached the peer may be sent once more; others follow the contract. */
const maxRetries = (request: CallerRequest, refusal: RefusalError): number => {
  if (request.requestClass !== 'submission') return request.match.route.retries;
  return refusal.step === FORWARD_STEP && refusal.outcome === 'not run' ? 1 : 0;
};

const outcomeOf = (end: AttemptEnd, signal: AbortSignal): AttemptReport['outcome'] => {
  if (end.kind === 'answered') return end.status >= 500 ? 'failure' : 'success';
  if (signal.aborted) return 'cancelled';
  if (end.kind === 'truncated') return 'failure';
  if (end.timedOut) return 'timeout';
  return end.refusal.outcome === 'not run' ? 'refused' : 'failure';
};

/** Creates the runner of attempts: waiting for a moved key, retries and hedges. */
export const createAttempts = (options: AttemptsOptions): RunAttempts => {
  const {
    clock, router, forwarder, dispatch, retryBudget, metrics,
  } = options;
  let waiting = 0;

  const attempt = async (
    request: CallerRequest,
    target: RouteTarget,
    number: number,
    signal: AbortSignal,
    sink: AnswerSink,
    context: AttemptContext,
  ): Promise<AttemptEnd> => {
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
      outcome: outcomeOf(end, signal),
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

  const canWait = () => waiting < options.maxWaiting;

  const waitForRecord = async (request: CallerRequest, version: number, limitMs: number) => {
    if (!canWait()) return false;
    waiting += 1;
    try {
      const remainingMs = request.deadlineAt - clock.now();
      const waitMs = Math.min(remainingMs, limitMs);
      return await router.waitForChange(request.service, version, waitMs, request.signal);
    } finally {
      waiting -= 1;
    }
  };

  /** Runs an attempt and, when it takes long, a second one elsewhere; the first answer wins. */
  const hedged = (
    request: CallerRequest,
    target: RouteTarget,
    delayMs: number,
    context: AttemptContext,
    sink: AnswerSink,
  ): Promise<AttemptEnd> => new Promise((resolve, reject) => {
    const aborts: AbortController[] = [];
    let winner: AbortController | undefined;
    let running = 0;
    let hedgeCancel = () => undefined as void;
    const onAbort = () => {
      for (const abort of aborts) abort.abort();
    };
    request.signal.addEventListener('abort', onAbort);

    const launch = async (to: RouteTarget) => {
      const abort = new AbortController();
      aborts.push(abort);
      if (request.signal.aborted) abort.abort();
      running += 1;
      context.attempts += 1;
      const end = await attempt(request, to, context.attempts, abort.signal, {
        ...sink,
        start: (status, headers) => {
          if (winner !== undefined) return 'cancel';
          winner = abort;
          hedgeCancel();
          for (const other of aborts) if (other !== abort) other.abort();
          return sink.start(status, headers);
        },
      }, context);
      running -= 1;
      const isLoser = winner !== undefined && winner !== abort;
      if (isLoser || (winner === undefined && running > 0)) return;
      hedgeCancel();
      request.signal.removeEventListener('abort', onAbort);
      resolve(end);
    };

    hedgeCancel = clock.schedule(delayMs, () => {
      const excluded = new Set(context.excluded).add(target.instance);
      const other = decide(request, excluded);
      if (!isTarget(other)) return;
      if (!retryBudget.withdraw(request.customer)) return;
      metrics.increment(metricNames.hedges);
      context.excluded.add(other.instance);
      launch(other).catch(reject);
    });
    launch(target).catch(reject);
  });

  const runTarget = (
    request: CallerRequest,
    target: RouteTarget,
    context: AttemptContext,
    sink: AnswerSink,
  ): Promise<AttemptEnd> => {
    const { route } = request.match;
    if (route.hedge && request.requestClass === 'lookup' && request.body === null) {
      const delayMs = router.hedgeDelayMs(request.service);
      if (delayMs !== undefined) return hedged(request, target, delayMs, context, sink);
    }
    context.attempts += 1;
    return attempt(request, target, context.attempts, request.signal, sink, context);
  };

  /** Tells whether another attempt may follow a refusal, and prepares it. */
  const mayGoOn = async (
    request: CallerRequest,
    target: RouteTarget,
    end: RefusedEnd,
    context: AttemptContext,
  ): Promise<boolean> => {
    const { refusal } = end;
    if (request.signal.aborted || !canSendAgain(request)) return false;
    const rule = redirectionRules[refusal.step];
    if (rule !== undefined && refusal.outcome === 'not run') {
      if (context.redirections >= rule.maxRedirections || !canWait()) return false;
      context.redirections += 1;
      await waitForRecord(request, target.version, rule.waitMs);
      return true;
    }
    if (context.retries >= maxRetries(request, refusal)) return false;
    if (!retryBudget.withdraw(request.customer)) return false;
    context.retries += 1;
    // The one owner of a key may be tried again, as the refusal says that it did not run.
    if (request.requestClass !== 'submission') context.excluded.add(target.instance);
    metrics.increment(metricNames.retries);
    return true;
  };

  const run = async (request: CallerRequest, sink: AnswerSink, context: AttemptContext) => {
    retryBudget.deposit(request.customer);
    for (;;) {
      if (clock.now() >= request.deadlineAt) {
        return context.last ?? refuse('the deadline has passed', 504);
      }
      const decision = decide(request, context.excluded);
      if (decision.kind === 'none') return context.last ?? refuse(decision.reason, 503);
      if (!isTarget(decision)) {
        const changed = await waitForRecord(request, decision.version, Number.POSITIVE_INFINITY);
        if (!changed) return context.last ?? refuse(decision.reason, 503);
        continue;
      }
      const end = await runTarget(request, decision, context, sink);
      if (end.kind !== 'refused') return end;
      context.last = end;
      if (!await mayGoOn(request, decision, end, context)) return end;
    }
  };

  return async (request, sink) => {
    const context: AttemptContext = {
      attempts: 0,
      retries: 0,
      redirections: 0,
      excluded: new Set(),
      last: undefined,
      mayHaveRun: false,
    };
    return settleOutcome(await run(request, sink, context), context);
  };
};
