/** Error classes. Each error names the operation that failed and the peer, if any. */
export { describeSchemaError, type FieldIssue, type SchemaError } from './describe_schema_error.ts';
export { StepError, type StepErrorOptions } from './step_error.ts';
export {
  ContractError,
  type Outcome,
  PeerError,
  RefusalError,
  type RefusalFigures,
  type RefusalOptions,
  SettingsError,
  StoreError,
  type StoreErrorKind,
} from './domain_errors.ts';
