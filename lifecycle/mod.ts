/** The owner of the ends of connections and of the process. */
export {
  type ConnectionEnds, type EndedBy, mayEndConnection, type NodeEndReason, type OpenConnectionEnd,
  unrecordedEnds,
} from './connection_ends.ts';
export { createFailedStepReport } from './failed_steps.ts';
export {
  createEndOwner, type EndOwner, type EndOwnerOptions, type OpenEnd, type ProcessEnd,
  type ProcessEndReason, type StopFallback, type StopNode, type StopRequest,
} from './end_owner.ts';
