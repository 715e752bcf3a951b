/** Stand-ins for external systems, for tests, benchmarks and the demonstration. */
export { startStoreServer, type StoreServer, type StoreServerOptions } from './store_server.ts';
export {
  type Fleet, fleetCredentials, type FleetHost, type FleetHostPlan, type FleetOptions, startFleet,
} from './fleet.ts';
export {
  type InstanceFault,
  type PlatformInstance,
  type PlatformInstanceOptions,
  type RunRequest,
  startPlatformInstance,
} from './platform_instance.ts';
export { type PlatformStoreServer, startPlatformStore } from './platform_store.ts';
