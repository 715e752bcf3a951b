/** Handlers for the signals of the process; a signal that came earlier runs its handler at once. */
export interface ProcessSignals {
  /** Returns whether the process has been asked to stop. */
  readonly isStopRequested: () => boolean;
  /** Sets the handler of SIGTERM and SIGINT, which runs once with the time since the signal. */
  readonly onStop: (handler: (sinceSignalMs: number) => void) => void;
  /** Sets the handler of SIGHUP. */
  readonly onReload: (handler: () => void) => void;
}

const createProcessSignals = (): ProcessSignals => {
  let stopRequestedAt: number | undefined;
  let isReloadPending = false;
  let stop = (_sinceSignalMs: number) => undefined as void;
  let reload = () => {
    isReloadPending = true;
  };
  const requestStop = () => {
    if (stopRequestedAt !== undefined) return;
    stopRequestedAt = performance.now();
    stop(0);
  };
  process.on('SIGTERM', requestStop);
  process.on('SIGINT', requestStop);
  process.on('SIGHUP', () => reload());
  return {
    isStopRequested: () => stopRequestedAt !== undefined,
    onStop: (handler) => {
      stop = handler;
      if (stopRequestedAt !== undefined) handler(performance.now() - stopRequestedAt);
    },
    onReload: (handler) => {
      reload = handler;
      if (isReloadPending) handler();
      isReloadPending = false;
    },
  };
};

/**
 * Signals of this process. They are caught from the evaluation of this module on, which has to be
 * the first import of an entry point: the default action of each of them ends the process.
 */
export const processSignals = createProcessSignals();
