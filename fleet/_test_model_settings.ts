/** State of the settings file. */
export type ModelSettings = 'valid' | 'changed' | 'invalid' | 'missing';

/** Returns the text of valid settings with a service. */
export const settingsTextOf = (service: string) => JSON.stringify({
  node: 'host-1',
  region: 'r',
  failureDomain: 'd',
  service,
  announceInterval: '200ms',
  bounds: { drain: '2s', grace: '6s' },
  listen: {
    caller: 'host:1', peer: 'host:2', readiness: 'host:3', announcements: 'host:4',
  },
  store: { address: 'host:5', writesPerSecond: 400, readsPerSecond: 2000 },
});

/** Texts of the settings file; undefined if it cannot be read. */
export const settingsTexts = {
  valid: settingsTextOf('orders'),
  changed: settingsTextOf('ledger'),
  invalid: settingsTextOf('orders').slice(0, -1),
  missing: undefined,
} as const satisfies Readonly<Record<ModelSettings, string | undefined>>;
