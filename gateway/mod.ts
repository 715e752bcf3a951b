/** The request path of a node, from a caller's connection to the instance that runs the request. */
export { type Attempts, type RequestSenderOptions, createAttempts } from './attempts.ts';
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
  createInstancePort, type InstanceHeaders, type InstancePort, type InstanceClientOptions,
} from './instance_port.ts';
export {
  createLocalService,
  type KeyOwnership,
  type LocalInstance,
  type LocalService,
  type LocalForwarderOptions,
} from './local_service.ts';
export { createPeerListener, type PeerListenerOptions } from './peer_listener.ts';
export {
  createPeerPort, type PeerSendResult, type PeerPort, type PeerClientOptions,
} from './peer_port.ts';
export { type AttemptOutcome, type GatewayRequest, isIdempotent } from './request.ts';
export {
  createRetryAllowance, type RetryAllowance, type RetryBudgetOptions,
} from './retry_allowance.ts';
export { chooseService, createRouteTable, type RouteTable } from './route_table.ts';
export { createStopProgress, type ShutdownPhase, type StopProgress } from './stop_progress.ts';
export {
  createSlotQueue, type SlotPermit, type SlotQueue, type SlotQueueOptions, type SlotRequest,
} from './slot_queue.ts';
