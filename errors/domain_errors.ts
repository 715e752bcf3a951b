import { StepError, type StepErrorOptions } from './step_error.ts';

/**
 * `conflict`: the expected revision is not the current one. `unavailable`: the call had no effect.
 * `unknown`: the call may have taken effect. `too-large`: the value or result exceeds a size limit.
 * `compacted`: the requested history has been compacted. `lease-ended`: the lease has ended.
 */
export type StoreErrorKind = 'conflict' | 'unavailable' | 'unknown' | 'too-large'
  | 'compacted' | 'lease-ended';

/** Options of a store error. */
export interface StoreErrorOptions extends StepErrorOptions {
  /** True if the call got no reply in time; its connection may have gone silent. */
  readonly isTimeout?: boolean;
  /** True if the call was given up although the store answers; it may be sent again at once. */
  readonly isGivenUp?: boolean;
}

/** A failed call to the key-value store. */
export class StoreError extends StepError {
  readonly isTimeout: boolean;

  readonly isGivenUp: boolean;

  constructor(readonly kind: StoreErrorKind, reason: string, options: StoreErrorOptions) {
    super(reason, options);
    this.isTimeout = options.isTimeout ?? false;
    this.isGivenUp = options.isGivenUp ?? false;
  }
}

/** A failed control request: it got no reply, or a failure as the reply. */
export class PeerError extends StepError {}

/** An invalid contract; `field` is the path of the invalid field. */
export class ContractError extends StepError {
  constructor(readonly field: string, reason: string, options: StepErrorOptions) {
    super(`${field}: ${reason}`, options);
  }
}

/** Invalid settings; `field` is the path of the invalid field. */
export class SettingsError extends StepError {
  constructor(readonly field: string, reason: string, options: StepErrorOptions) {
    super(`${field}: ${reason}`, options);
  }
}

/** `not run`: no byte reached the upstream. `unknown`: the upstream may have run the request. */
export type Outcome = 'not run' | 'unknown';

/** Options of a refusal. */
export interface RefusalOptions extends StepErrorOptions {
  readonly status: number;
  readonly outcome: Outcome;
  /** Seconds after which the caller may retry. */
  readonly retryAfterSeconds?: number;
  /** Figures on which the decision was based, for logs. They are not sent to callers or peers. */
  readonly figures?: RefusalFigures;
}

/** Names and values of the figures on which a refusal was based. */
export type RefusalFigures = Readonly<Record<string, number>>;

/** The refusal of a request, which is sent to the caller in place of an upstream response. */
export class RefusalError extends StepError {
  readonly status: number;

  readonly outcome: Outcome;

  readonly retryAfterSeconds: number | undefined;

  readonly figures: RefusalFigures;

  constructor(reason: string, options: RefusalOptions) {
    super(reason, options);
    this.status = options.status;
    this.outcome = options.outcome;
    this.retryAfterSeconds = options.retryAfterSeconds;
    this.figures = options.figures ?? {};
  }
}
