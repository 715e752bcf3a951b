import type { LogFields, Logger } from '../telemetry/mod.ts';

/** Creates a logger that does not throw, as an end must not fail with its log line. */
export const createSafeLogger = (logger: Logger): Pick<Logger, 'info' | 'warn' | 'error'> => {
  const writeAt = (level: 'info' | 'warn' | 'error') => (fields: LogFields, message: string) => {
    try {
      logger[level](fields, message);
    } catch {
      // Nothing is left to report a damaged logger to.
    }
  };
  return { info: writeAt('info'), warn: writeAt('warn'), error: writeAt('error') };
};
