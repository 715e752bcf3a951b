/** Contracts: schema, validation, and lookup of the customer and route of a request. */
export {
  type Contract,
  contractSchema,
  type KeySource,
  type RequestClass,
  requestClasses,
  type Route,
  type ServiceDefinition,
} from './contract.ts';
export { parseContract } from './parse_contract.ts';
export {
  type CompiledContracts, compileContracts, type RequestTarget, type RouteMatch,
} from './compile_contracts.ts';
export { type ContractDifference, diffContracts } from './diff_contracts.ts';
export type {
  PublishedContract, PublishedRoute, PublishedService, RouteKind, RouteTarget,
} from './published_contract.ts';
