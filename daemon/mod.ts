/** The node process: its settings, its services and its operator interface. */
export { parseSettings, type Settings } from './settings.ts';
export {
  type Announcement, type Announcements, ANNOUNCEMENT_TTL_MS, createAnnouncements,
} from './announcements.ts';
export {
  CONTRACT_PREFIX, ContractConflict, type ContractRevision, type Contracts, createContracts,
} from './contracts.ts';
export { createOperatorApi, type NodeStatus, type OperatorBackend } from './operator_api.ts';
export { type NodeOptions, type RunningNode, startNode } from './start_node.ts';
export {
  type OwnerService, type OwnerServiceOptions, startOwnerService,
} from './_owner_service.ts';
export type { NodeAddresses } from './_control_services.ts';
