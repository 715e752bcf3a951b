import type { Logger } from './logger.ts';

/** The part of a Node.js process that reports failures which no part has handled. */
export interface FailureSource {
  readonly on: (
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ) => unknown;
  readonly exit: (status: number) => unknown;
}

const EXIT_FAILED = 1;

const describe = (error: unknown) => ({
  reason: String(error),
  stack: error instanceof Error ? error.stack : undefined,
});

/**
 * Handles failures that no part of the process has handled. A rejected promise ends the work that
 * it stood for, and the process goes on. After an exception the state of the process is unknown:
 * it ends, with the reason in its log, and the platform starts it again.
 *
 * @param source The process.
 * @param logger Logger.
 *
 * @example
 * handleProcessFailures(process, logger);
 */
export const handleProcessFailures = (source: FailureSource, logger: Logger): void => {
  const log = logger.forComponent('process');
  source.on('unhandledRejection', (error) => {
    log.error(describe(error), 'a failure was not handled');
  });
  source.on('uncaughtException', (error) => {
    try {
      log.error(describe(error), 'the process ends after an exception that was not handled');
    } finally {
      source.exit(EXIT_FAILED);
    }
  });
};
