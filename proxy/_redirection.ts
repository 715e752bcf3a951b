import { OWNERSHIP_STEP, PENDING_STEP } from './local_dispatch.ts';

/** How a request is routed again after the instance refused it because of key ownership. */
export interface RedirectionRule {
  readonly maxRedirections: number;
  /** Longest time in ms to wait for a newer placement record before routing again. */
  readonly waitMs: number;
}

/** Redirection rules by the step of the refusal. */
export const redirectionRules: Readonly<Record<string, RedirectionRule>> = {
  [OWNERSHIP_STEP]: { maxRedirections: 5, waitMs: 500 },
  // A takeover completes within 300 ms of its record. The owner stays the same, so no newer record
  // is needed.
  [PENDING_STEP]: { maxRedirections: 80, waitMs: 25 },
};
