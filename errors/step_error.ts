/** The operation that failed, the peer and the cause of an error. */
export interface StepErrorOptions {
  /** The operation that failed, for example `lease.renew`. */
  readonly step: string;
  /** The peer, upstream or store that was called; empty when the error is local. */
  readonly peer?: string;
  readonly cause?: unknown;
}

/** Base class of all errors of the project. Each names the operation that failed and the peer. */
export class StepError extends Error {
  readonly step: string;

  readonly peer: string;

  /**
   * @param reason Why the operation failed, in one sentence.
   * @param options Operation, peer and cause.
   *
   * @example
   * new StepError('no answer within 500 ms', { step: 'store.get', peer: '127.0.0.1:7000' });
   */
  constructor(readonly reason: string, options: StepErrorOptions) {
    const location = options.peer ? `${options.step} (${options.peer})` : options.step;
    super(`${location}: ${reason}`, { cause: options.cause });
    this.name = new.target.name;
    this.step = options.step;
    this.peer = options.peer ?? '';
  }
}
