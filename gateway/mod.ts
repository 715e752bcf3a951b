/** The request path of a node, from a caller's connection to the instance that runs the request. */
export { type Attempts, createAttempts, type RequestSenderOptions } from './attempts.ts';
export {
  type CallerHeaders, type CallerListenerOptions, createCallerListener, type RequestSummary,
} from './caller_listener.ts';
export {
  createTargetChooser,
  type NoTarget,
  type Target,
  type TargetChooser,
  type TargetChooserOptions,
  type TargetNode,
  type VersionedRecord,
} from './target_chooser.ts';
export {
  createInstancePort, type InstanceClientOptions, type InstanceHeaders, type InstancePort,
} from './instance_port.ts';
export {
  createLocalService,
  type KeyOwnership,
  type LocalForwarderOptions,
  type LocalInstance,
  type LocalService,
} from './local_service.ts';
export { createPeerListener, type PeerListenerOptions } from './peer_listener.ts';
export {
  createPeerPort, type PeerClientOptions, type PeerPort, type PeerSendResult,
} from './peer_port.ts';
export { type AttemptOutcome, type GatewayRequest, isIdempotent } from './request.ts';
export {
  createRetryAllowance, type RetryAllowance, type ServiceRetryBudgetOptions,
} from './retry_allowance.ts';
export { chooseService, createRouteTable, type RouteTable } from './route_table.ts';
export {
  createStopProgress, type ShutdownPhase, type StopProgress,
} from './stop_progress.ts';
export {
  createSlotQueue, type SlotPermit, type SlotQueue, type SlotQueueOptions, type SlotRequest,
} from './slot_queue.ts';
