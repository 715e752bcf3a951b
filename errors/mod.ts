/** Error classes; each error carries the step and the peer at which it arose. */
export { describeProblem, type FieldProblem, type SchemaFailure } from './describe_problem.ts';
export { StepError, type StepErrorOptions } from './step_error.ts';
export {
  ContractError,
  type Outcome,
  PeerError,
  RefusalError,
  type RefusalOptions,
  SettingsError,
  StoreError,
  type StoreErrorKind,
} from './domain_errors.ts';
