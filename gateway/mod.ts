/** The request path of a node, from a caller's connection to the instance that runs the request. */
export type { CallerHeaders } from './_caller_request.ts';
export { MAX_BUFFERED_BYTES, MAX_KEPT_BODY_BYTES } from './_limits.ts';
export {
  createRequestSender, type RequestSender, type RequestSenderOptions,
} from './request_sender.ts';
export type { CallerListenerOptions, RequestSummary } from './caller_listener_options.ts';
export { createCallerListener } from './caller_listener.ts';
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
  createInstanceClient, type InstanceClientOptions, type InstanceHeaders, type InstanceClient,
} from './instance_client.ts';
export {
  createLocalForwarder,
  type KeyOwnership,
  type LocalForwarderOptions,
  type LocalInstance,
  type LocalForwarder,
} from './local_forwarder.ts';
export { createEntrance, type EntranceOptions } from './entrance.ts';
export { createFailureDetector, type FailureDetector } from './failure_detector.ts';
export {
  createDispatchQueue, type DispatchDecision, type DispatchQueue, type DispatchQueueOptions,
  type DispatchRequest,
} from './dispatch_queue.ts';
export {
  createDemandMeter, type DemandMeter, type DemandMeterOptions, type DemandRequest,
} from './demand_meter.ts';
export { type BodyBudget, type BodyReservation, createBodyBudget } from './body_budget.ts';
export { createPeerListener } from './peer_listener.ts';
export type { PeerListenerOptions } from './peer_listener_options.ts';
export {
  createPeerClient, type PeerClientOptions, type PeerClient, type PeerSendResult,
} from './peer_client.ts';
export {
  type AttemptOutcome, type GatewayRequest, isBulk, isIdempotent,
} from './request.ts';
export {
  createResponseSilence, type ResponseSilence, type ResponseSilenceOptions,
} from './response_silence.ts';
export {
  createServiceRetryBudget, type ServiceRetryBudget, type ServiceRetryBudgetOptions,
} from './service_retry_budget.ts';
export { chooseService, createRouteTable, type RouteTable } from './route_table.ts';
export {
  createShutdownTracker, type ShutdownPhase, type ShutdownTracker,
} from './shutdown_tracker.ts';
export {
  createSlotQueue, type SlotPermit, type SlotQueue, type SlotQueueOptions, type SlotRequest,
} from './slot_queue.ts';
