/** Contracts: their schema, their checks and the lookup of a request's customer and route. */
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
