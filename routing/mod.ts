/** Choice of the instance that serves a request. */
export type {
  AttemptReport, NoTarget, Router, RouteTarget, RoutingDecision, RoutingRequest,
} from './router.ts';
