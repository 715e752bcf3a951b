import { formatProcessSettings } from './_test_node_process.ts';

/** State of the settings file. */
export type ModelSettings = 'valid' | 'changed' | 'invalid' | 'missing';

/** Returns the text of valid settings with a service. */
export const settingsTextOf = (service: string) => formatProcessSettings('host', { service });

/** Texts of the settings file; undefined if it cannot be read. */
export const settingsTexts = {
  valid: settingsTextOf('orders'),
  changed: settingsTextOf('ledger'),
  invalid: settingsTextOf('orders').slice(0, -1),
  missing: undefined,
} as const satisfies Readonly<Record<ModelSettings, string | undefined>>;
