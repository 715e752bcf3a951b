import { StepError, type StepErrorOptions } from './step_error.ts';

/**
 * `conflict`: the revision has moved on. `unavailable`: the call certainly had no effect.
 * `unknown`: it may have taken effect. `compacted`: the history asked for is gone.
 * `lease-ended`: the lease has ended.
 */
export type StoreErrorKind = 'conflict' | 'unavailable' | 'unknown' | 'too-large'
  | 'compacted' | 'lease-ended';

/** A failed call to the key-value store. */
export class StoreError extends StepError {
  constructor(readonly kind: StoreErrorKind, reason: string, options: StepErrorOptions) {
    super(reason, options);
  }
}

/** A control message that was not answered, or was answered by a failure. */
export class PeerError extends StepError {}

/** A contract that fails its schema; `field` is the path of the field at fault. */
export class ContractError extends StepError {
  constructor(readonly field: string, reason: string, options: StepErrorOptions) {
    super(`${field}: ${reason}`, options);
  }
}

/** Settings that fail their schema; `field` is the path of the field at fault. */
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
  /** Seconds after which a caller may try again. */
  readonly retryAfterSeconds?: number;
}

/** A request that is answered by a refusal instead of the upstream's answer. */
export class RefusalError extends StepError {
  readonly status: number;

  readonly outcome: Outcome;

  readonly retryAfterSeconds: number | undefined;

  constructor(reason: string, options: RefusalOptions) {
    super(reason, options);
    this.status = options.status;
    this.outcome = options.outcome;
    this.retryAfterSeconds = options.retryAfterSeconds;
  }
}
