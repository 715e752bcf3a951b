import { parsePlatformSettings, type PlatformSettings } from '../platform/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Options of {@link createSettingsCheck}. */
export interface SettingsCheckOptions {
  /** Origin of the text, which errors name. */
  readonly source: string;
  /** Returns the text of the settings; undefined if it cannot be read. */
  readonly read: () => string | undefined;
  /** Text of the settings in force. */
  readonly first: string;
  readonly reload: (settings: PlatformSettings) => void;
  readonly logger: Logger;
}

/**
 * Creates a check whether the settings have changed. Settings that are missing or invalid, as while
 * they are written, leave those in force.
 *
 * @param options Source, first text and what to do with changed settings.
 * @returns The check, to be called at each sign of a change and at an interval.
 *
 * @example
 * const check = createSettingsCheck({ source, read, first, reload: node.reload, logger });
 * processSignals.onReload(check);
 */
export const createSettingsCheck = ({
  source, read, first, reload, logger,
}: SettingsCheckOptions) => {
  let known: string | undefined = first;
  return (): void => {
    const text = read();
    if (text === known) return;
    known = text;
    if (text === undefined) {
      logger.error({ source }, 'cannot read the changed settings');
      return;
    }
    const settings = parsePlatformSettings(text, source);
    if (settings.isOk()) reload(settings.value);
    else logger.error({ reason: settings.error.message }, 'rejected the changed settings');
  };
};
