import { OWNERSHIP_STEP, PENDING_STEP } from './local_dispatch.ts';

/** How a request goes on after a refusal because of ownership. */
export interface RedirectionRule {
  readonly maxRedirections: number;
  /** Longest time in ms to wait for a newer record before the next decision. */
  readonly waitMs: number;
}

/** Rules by the step of the refusal. */
export const redirectionRules: Readonly<Record<string, RedirectionRule>> = {
  [OWNERSHIP_STEP]: { maxRedirections: 5, waitMs: 500 },
  // A takeover is settled within 300 ms of its record; the owner itself needs no newer one.
  [PENDING_STEP]: { maxRedirections: 80, waitMs: 25 },
};
