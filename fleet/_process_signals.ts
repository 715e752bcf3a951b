/** Handlers for the signals of the process; a signal that came earlier runs its handler at once. */
export interface ProcessSignals {
  /** Returns whether the process has been asked to stop. */
  readonly isStopRequested: () => boolean;
  /** Sets the handler of SIGTERM and SIGINT, which runs once with the time since the signal. */
  readonly onStop: (handler: (sinceSignalMs: number) => void) => void;
  /** Sets the handler of SIGHUP. */
  readonly onReload: (handler: () => void) => void;
}

/** The part of a Node.js process that delivers its signals. */
export interface SignalSource {
  readonly on: (signal: 'SIGTERM' | 'SIGINT' | 'SIGHUP', listener: () => void) => unknown;
}

/** Creates the handlers for the signals of a source. */
export const createProcessSignals = (source: SignalSource): ProcessSignals => {
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
  source.on('SIGTERM', requestStop);
  source.on('SIGINT', requestStop);
  source.on('SIGHUP', () => reload());
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
export const processSignals = createProcessSignals(process);
