/** Choice of the instance that serves a request. */
export type {
  AttemptReport, NoTarget, Router, RouteTarget, RoutingDecision, RoutingRequest,
} from './router.ts';
export {
  chooseInstance, type ChooseOptions, type InstanceChoice, type InstanceView,
} from './choose_instance.ts';
export { chooseSubset, type SubsetCandidate, type SubsetOptions } from './choose_subset.ts';
export { createRouter, type RouterOptions } from './create_router.ts';
export {
  createOutlierEjection, type HealthSample, type OutlierEjection,
} from './outlier_ejection.ts';
export type { SlotOf } from './_keyed_route.ts';
export {
  createServiceView, type PlacedView, type ServiceView, type ServiceViewOptions,
} from './_service_view.ts';
