import type { Logger } from '../telemetry/mod.ts';
import { createSafeLogger } from './_safe_logger.ts';

/**
 * Creates the report of steps of a stop that fail. It does not throw, so that the stop goes on.
 *
 * @param logger Logger, which may be damaged itself.
 * @returns Reports the failure of a step by its name.
 *
 * @example
 * listener.stop().catch((error: unknown) => reportFailedStep('listener', error));
 */
export const createFailedStepReport = (logger: Logger) => {
  const safeLogger = createSafeLogger(logger);
  return (step: string, error: unknown): void => (
    safeLogger.error({ step, reason: String(error) }, 'a step of the stop failed')
  );
};
