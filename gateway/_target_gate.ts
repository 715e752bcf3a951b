import type { Clock } from '../clock/mod.ts';
import { UNSENT } from './_attempt_outcomes.ts';
import { refuseNotRun } from './_refusals.ts';
import type { AttemptOutcome, GatewayRequest } from './request.ts';
import { spreadRetryMs } from './_retry_time.ts';
import type { ServiceRetryBudget } from './service_retry_budget.ts';
import type { NoTarget, Target, TargetChooser } from './target_chooser.ts';
import type { TargetThrottle } from './target_throttle.ts';

type Refused = Extract<AttemptOutcome, { kind: 'refused' }>;
type RequestHead = Omit<GatewayRequest, 'body'>;

/** Decides whether a request is sent to a target at all. */
export interface TargetGate {
  /** Returns whether the throttle counts requests like this one to the target. */
  readonly isCounted: (request: RequestHead, target: Target) => boolean;
  /** Refuses a request with a key before its body is read, if its owner cannot take it now. */
  readonly refuseEarly: (request: RequestHead) => Refused | undefined;
}

/** Options of a target gate. */
export interface TargetGateOptions {
  readonly clock: Clock;
  readonly chooser: TargetChooser;
  readonly throttle: TargetThrottle;
  readonly retryBudget: ServiceRetryBudget;
}

const NO_EXCLUSIONS: ReadonlySet<string> = new Set();

/** Creates the refusal of a request that the throttle does not let pass. */
export const refuseThrottled = (instance: string, deadlineAt: number, now: number): Refused => (
  refuseNotRun('the instance is overloaded', spreadRetryMs(deadlineAt, now), {
    step: 'routing.throttle', peer: instance,
  })
);

/** Creates the refusal of a request for which there is no target. */
export const refuseNoTarget = ({ reason, retryAfterMs }: NoTarget): Refused => (
  refuseNotRun(reason, retryAfterMs, { step: 'routing.choose' })
);

/** Creates the gate of a sender. */
export const createTargetGate = (options: TargetGateOptions): TargetGate => {
  const { clock, chooser, throttle } = options;

  // The request that makes a nested call holds a slot and fails without it.
  const isCounted: TargetGate['isCounted'] = (request, target) => (
    target.kind === 'peer' && request.isNestedCall !== true
  );

  return {
    isCounted,
    refuseEarly: (request) => {
      if (request.key === undefined) return undefined;
      const target = chooser.choose(request, NO_EXCLUSIONS);
      if (target.kind === 'none') return refuseNoTarget(target);
      chooser.report(request, target, UNSENT);
      if (!isCounted(request, target)) return undefined;
      const isLate = request.latencyTargetAt <= clock.now();
      if (throttle.admit(target.instance, isLate, request.priority)) return undefined;
      options.retryBudget.deposit(request.service);
      return refuseThrottled(target.instance, request.deadlineAt, clock.now());
    },
  };
};
