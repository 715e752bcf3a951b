/** Service discovery: the nodes and instances of the fleet, as registered in the store. */
export {
  decodeNodeEntry, type DirectoryInstance, type InstanceState, MAX_ENTRY_LENGTH, MAX_SLOTS,
  type NodeEntry, type StoreEraState,
} from './node_entry.ts';
export {
  createDepartureLog, type Departure, type DepartureLog, type DepartureLogOptions,
} from './departure_log.ts';
export {
  createNodeRegistration, type NodeRegistration, type NodeRegistrationOptions,
} from './node_registration.ts';
export {
  departuresKey, NODES_PREFIX, nodeKey, KEY_PREFIX, RANGES_PREFIX, rangesKey,
} from './store_keys.ts';
export { createStoreView, type StoreView, type ViewChange } from './store_view.ts';
export type { StoreViewOptions } from './store_view_options.ts';
export { createEvacuations, type Evacuations, type EvacuationsOptions } from './evacuations.ts';
export { createFleetMembership, type FleetMembershipOptions } from './fleet_membership.ts';
export { createPauseGuard, type PauseGuard, type PauseGuardOptions } from './pause_guard.ts';
export { createViewHistory, type ViewHistory } from './view_history.ts';
export { createFleetView, type FleetView, type FleetViewOptions } from './fleet_view.ts';
