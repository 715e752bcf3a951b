/** Limits and queues: at the sidecar, per customer over the fleet, and for retries. */
export type {
  Admission, AdmissionLoad, AdmissionRequest, Permit, PermitOutcome,
} from './admission.ts';
export type { CustomerLimits, LimitTicket, RetryBudget } from './customer_limits.ts';
