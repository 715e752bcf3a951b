/** Admission control at the sidecar, fleet-wide customer limits, and retry budgets. */
export type {
  Admission, AdmissionLoad, AdmissionRequest, ExcessDemand, Permit, PermitOutcome,
} from './admission.ts';
export type { CustomerLimits, LimitPermit, RetryBudget } from './customer_limits.ts';
export {
  type ArrivingRequest, type CallDetector, type CallDetectorOptions, createCallDetector,
  type RequestOrigin,
} from './call_detector.ts';
export type { RunOrigin } from './_run_history.ts';
export { type CallFailures, createCallFailures } from './call_failures.ts';
export {
  createEntranceGate, type EntranceGate, type EntranceGateOptions, type EntranceRequest,
} from './entrance_gate.ts';
export { createRankedDemand, type RankedDemand } from './ranked_demand.ts';
export { type AdmissionOptions, createAdmission } from './create_admission.ts';
export {
  type ConcurrencyLimit,
  type ConcurrencyLimitOptions,
  createConcurrencyLimit,
  type LatencySample,
} from './concurrency_limit.ts';
export { createFairQueue, type FairQueue, type FairQueueEntry } from './fair_queue.ts';
export {
  type AllotmentTable,
  createAllotmentTable,
  type DemandReport,
  type LimitGrant,
  type LimitValues,
} from './allotment_table.ts';
export { createCustomerLimits, type CustomerLimitsOptions } from './create_customer_limits.ts';
export { divideMaxMin } from './divide_max_min.ts';
export { createRetryBudget, type RetryBudgetOptions } from './create_retry_budget.ts';
export {
  createRotatingHistogram,
  type RotatingHistogram,
  type RotatingHistogramOptions,
} from './rotating_histogram.ts';
export {
  type ColdStartLimit, type ColdStartLimitOptions, type ColdStartPermit, createColdStartLimit,
} from './cold_start_limit.ts';
