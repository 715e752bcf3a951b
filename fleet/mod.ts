/** The node for the users' platform: its parts, put together with the kernel. */
export { type ContractSource, createContractSource } from './contract_source.ts';
export {
  createInstanceRegistry, type InstanceRegistry, type InstanceRegistryOptions,
} from './instance_registry.ts';
export {
  createLoadCollector, type LoadCollector, type LoadCollectorOptions, type LoadReport,
} from './load_collector.ts';
export {
  createRangeKeeper, grantableMs, type RangeKeeper, type RangeKeeperOptions,
} from './range_keeper.ts';
export { type FleetNode, type FleetNodeOptions, startFleetNode } from './start_fleet_node.ts';
