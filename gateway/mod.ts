/** The path of a request from a caller's connection to the instance that runs it. */
export { type Attempts, type AttemptsOptions, createAttempts } from './attempts.ts';
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
} from './choose_target.ts';
export {
  createInstancePort, type InstanceHeaders, type InstancePort, type InstancePortOptions,
} from './instance_port.ts';
export {
  createLocalService,
  type KeyGuard,
  type LocalInstance,
  type LocalService,
  type LocalServiceOptions,
} from './local_service.ts';
export { createPeerListener, type PeerListenerOptions } from './peer_listener.ts';
export {
  createPeerPort, type PeerOutcome, type PeerPort, type PeerPortOptions,
} from './peer_port.ts';
export { type AttemptOutcome, type GatewayRequest, isRepeatable } from './request.ts';
export {
  createRetryAllowance, type RetryAllowance, type RetryAllowanceOptions,
} from './retry_allowance.ts';
export { chooseService, createRouteTable, type RouteTable } from './route_table.ts';
export { createStopProgress, type StopPhase, type StopProgress } from './stop_progress.ts';
export {
  createSlotQueue, type SlotPermit, type SlotQueue, type SlotQueueOptions, type SlotRequest,
} from './slot_queue.ts';
