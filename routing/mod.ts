/** Selection of the instance that serves each request. */
export type {
  AttemptReport, NoTarget, Router, RouteTarget, RoutingDecision, RoutingRequest,
} from './router.ts';
export {
  chooseInstance, type ChooseInstanceOptions, type DomainPreference, type InstanceChoice,
  type InstanceView,
} from './choose_instance.ts';
export { chooseSubset, type SubsetCandidate, type SubsetOptions } from './choose_subset.ts';
export { createRouter, type RouterOptions } from './create_router.ts';
export {
  createOutlierEjection, type HealthSample, type OutlierEjection,
} from './outlier_ejection.ts';
export type { SlotForKey } from './_route_by_key.ts';
export {
  createServiceView, type InstanceEndpoint, type ServiceView, type ServiceViewOptions,
} from './_service_view.ts';
export {
  type KindDemand, type OtherDomain, type OwnDomain, planDomainShares, type SharesByKind,
} from './domain_share.ts';
export { createRoundTripTimes, type RoundTripTimes } from './round_trip_times.ts';
export { createSpillover, type Spillover, type SpilloverOptions } from './spillover.ts';
export { createTransferSizes, type TransferSizes } from './transfer_sizes.ts';
