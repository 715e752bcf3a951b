/** Spreads new versions of contracts and placement records over the fleet. */
export type { EntryListener, Relay } from './relay.ts';
export { createRelay, type RelayOptions } from './create_relay.ts';
