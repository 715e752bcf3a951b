import type { Logger } from './logger.ts';

/** The part of a Node.js process that reports failures which no part has handled. */
export interface FailureSource {
  readonly on: (
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ) => unknown;
}

const describe = (error: unknown) => ({
  reason: String(error),
  stack: error instanceof Error ? error.stack : undefined,
});

/**
 * Handles failures that no part of the process has handled. A rejected promise ends the work that
 * it stood for, and the process goes on. After an exception the state of the process is unknown:
 * it is to end, with the reason in its log, and the platform starts it again.
 *
 * @param source The process.
 * @param logger Logger.
 * @param end Ends the process once its requests in flight have been answered.
 *
 * @example
 * const end = () => ends.endProcess({ reason: 'exception', status: 1 });
 * handleProcessFailures(process, logger, end);
 */
export const handleProcessFailures = (
  source: FailureSource,
  logger: Logger,
  end: () => void,
): void => {
  const log = logger.forComponent('process');
  source.on('unhandledRejection', (error) => {
    log.error(describe(error), 'a failure was not handled');
  });
  source.on('uncaughtException', (error) => {
    try {
      log.error(describe(error), 'the process ends after an exception that was not handled');
    } catch {
      // An exception in this handler would end the process at once.
    }
    end();
  });
};
