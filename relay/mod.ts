/** Spreads new revisions of contracts and placement records through the fleet by gossip. */
export type { EntryListener, Relay } from './relay.ts';
export { createRelay, type RelayOptions } from './create_relay.ts';
