/** The platform node: its services and their wiring. */
export { type ContractSource, createContractSource } from './contract_source.ts';
export {
  createInstanceRegistry, type InstanceRegistry, type InstanceRegistryOptions,
} from './instance_registry.ts';
export {
  createLoadCollector, type LoadCollector, type LoadCollectorOptions, type LoadReport,
} from './load_collector.ts';
export {
  createRangeController, grantableMs, type RangeController, type RangeControllerOptions,
} from './range_controller.ts';
export { type FleetNode, type FleetNodeOptions, startFleetNode } from './start_fleet_node.ts';
export {
  fetchWhere, serveWhere, type WhereAnswer, type WhereCandidate, type WhereDestination,
  type WhereQuery, type WhereSource,
} from './where_message.ts';
