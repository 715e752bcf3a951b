/** Where an error arose and what caused it. */
export interface StepErrorOptions {
  /** The operation that failed, for example `lease.renew`. */
  readonly step: string;
  /** The peer, upstream or store concerned; empty when the error is local. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/** Base class of all errors of the project. Each names the step and the peer at which it arose. */
export class StepError extends Error {
  readonly step: string;

  readonly peer: string;

  /**
   * @param reason What went wrong, in one sentence.
   * @param options Step, peer and cause.
   *
   * @example
   * new StepError('no answer within 500 ms', { step: 'store.get', peer: '127.0.0.1:7000' });
   */
  constructor(readonly reason: string, options: StepErrorOptions) {
    const place = options.peer ? `${options.step} (${options.peer})` : options.step;
    super(`${place}: ${reason}`, { cause: options.cause });
    this.name = new.target.name;
    this.step = options.step;
    this.peer = options.peer ?? '';
  }
}
