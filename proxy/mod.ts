/** Listeners for requests of callers and of other nodes, and the dispatch of these requests. */
export {
  type AttemptsOptions, type CallerRequest, createAttemptRunner, type AttemptRunner,
} from './_attempt_runner.ts';
export { type HttpListener, splitAddress } from '../http/mod.ts';
export { type CallerListenerOptions, createCallerListener } from './caller_listener.ts';
export {
  createLocalDispatch,
  type LocalDispatch,
  type LocalDispatchOptions,
  type LocalUpstream,
  OWNERSHIP_STEP,
  PENDING_STEP,
} from './local_dispatch.ts';
export { createPeerListener, type PeerListenerOptions } from './peer_listener.ts';
