import { findContractViolations } from './_check_contracts.ts';
import { findOwnershipOverlaps } from './_check_ownership.ts';
import { findLostAssignments } from './_check_records.ts';
import {
  findFalseNotRun, findRepeatedSubmissions, findWrongAnswers,
} from './_check_requests.ts';
import { findLateExecutions, findInterruptedRequests, findUnservedKeys } from './_check_stops.ts';
import type { History } from './history.ts';

/** A violation of a rule in a history. */
export interface Violation {
  /** The rule that was broken. */
  readonly rule: Rule;
  /** Time in ms since the start of the run. */
  readonly at: number;
  readonly detail: string;
}

/** Checkers by the name of their rule. Each checker is a pure function of a history. */
export const checkers = {
  'one owner': findOwnershipOverlaps,
  'no lost assignment': findLostAssignments,
  'submissions run at most once': findRepeatedSubmissions,
  'not run is true': findFalseNotRun,
  'answers are whole': findWrongAnswers,
  'contracts in force': findContractViolations,
  'no work for a leaving upstream': findLateExecutions,
  'planned stops cut nothing': findInterruptedRequests,
  'keys are served again': findUnservedKeys,
} as const;

/** Name of a rule. */
export type Rule = keyof typeof checkers;

/**
 * Checks a history against all rules.
 *
 * @param history A history that ends with an `end` event.
 * @returns The violations, rule by rule and in order of time for each checker.
 *
 * @example
 * const violations = checkHistory((await runHistory({ seed: 1 })).history);
 */
export const checkHistory = (history: History): readonly Violation[] => {
  const violations: Violation[] = [];
  for (const rule of Object.keys(checkers) as Rule[]) {
    for (const found of checkers[rule](history)) violations.push({ rule, ...found });
  }
  return violations;
};
