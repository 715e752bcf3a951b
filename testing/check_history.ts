import { findContractViolations } from './_check_contracts.ts';
import { findOverlaps } from './_check_ownership.ts';
import { findLostAssignments } from './_check_records.ts';
import {
  findFalseNotRun, findRepeatedSubmissions, findWrongAnswers,
} from './_check_requests.ts';
import { findLateWork, findCutRequests, findUnservedKeys } from './_check_stops.ts';
import type { History } from './history.ts';

/** Something in a history that must never happen. */
export interface Violation {
  /** The rule that was broken. */
  readonly rule: Rule;
  /** Time in ms. */
  readonly at: number;
  readonly detail: string;
}

/** Names of the rules, with their checkers. Each checker is a pure function of a history. */
export const checkers = {
  'one owner': findOverlaps,
  'no lost assignment': findLostAssignments,
  'submissions run at most once': findRepeatedSubmissions,
  'not run is true': findFalseNotRun,
  'answers are whole': findWrongAnswers,
  'contracts in force': findContractViolations,
  'no work for a leaving upstream': findLateWork,
  'planned stops cut nothing': findCutRequests,
  'keys are served again': findUnservedKeys,
} as const;

/** Name of a rule. */
export type Rule = keyof typeof checkers;

/**
 * Checks a history against all rules.
 *
 * @param history A history with its end.
 * @returns The violations of each rule in order of time.
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
