import { err, ok, type Result } from 'neverthrow';
import { ContractError, describeSchemaError, type FieldIssue } from '../errors/mod.ts';
import {
  type Contract, contractSchema, type Route, type ServiceDefinition,
} from './contract.ts';

const STEP = 'contract.parse';

const pathParameterNames = (path: string) => path.split('/')
  .filter((segment) => segment.startsWith(':'))
  .map((segment) => segment.slice(1));

const checkRoute = (
  route: Route,
  service: ServiceDefinition | undefined,
): FieldIssue | undefined => {
  if (service === undefined) {
    return { field: 'service', reason: `'${route.service}' is not in services` };
  }
  if (service.keyed && route.key === undefined) {
    return { field: 'key', reason: `service '${service.name}' is divided by key` };
  }
  if (route.key?.from === 'path' && !pathParameterNames(route.path).includes(route.key.name)) {
    return { field: 'key.name', reason: `the path has no parameter ':${route.key.name}'` };
  }
  if (route.class === 'submission' && (route.retries > 0 || route.hedge)) {
    return { field: 'retries', reason: 'a submission is never retried or hedged' };
  }
  return undefined;
};

const findRouteIssue = (contract: Contract): FieldIssue | undefined => {
  const services = new Map(contract.services.map((service) => [service.name, service]));
  for (const [index, route] of contract.routes.entries()) {
    const issue = checkRoute(route, services.get(route.service));
    if (issue) return { field: `routes.${index}.${issue.field}`, reason: issue.reason };
  }
  return undefined;
};

const findServiceIssue = (contract: Contract): FieldIssue | undefined => {
  for (const [index, service] of contract.services.entries()) {
    if (service.keyed && service.slotCount === undefined) {
      const reason = 'a service divided by key needs a slot count';
      return { field: `services.${index}.slotCount`, reason };
    }
  }
  return undefined;
};

const findDuplicate = (field: string, names: readonly string[]): FieldIssue | undefined => {
  const seen = new Set<string>();
  for (const [index, value] of names.entries()) {
    if (seen.has(value)) {
      return { field: `${field}.${index}.name`, reason: `'${value}' is given twice` };
    }
    seen.add(value);
  }
  return undefined;
};

const findIssue = (contract: Contract): FieldIssue | undefined => (
  findDuplicate('services', contract.services.map((service) => service.name))
  ?? findDuplicate('routes', contract.routes.map((route) => route.name))
  ?? findServiceIssue(contract)
  ?? findRouteIssue(contract)
);

/**
 * Parses and validates a contract.
 *
 * @param text The contract as JSON text.
 * @param source Origin of the text, for example a file path; named in the error.
 * @returns The contract, or an error that names the invalid field.
 *
 * @example
 * const contract = parseContract(await readFile('samples/contract.json', 'utf8'),
 * 'samples/contract.json');
 */
export const parseContract = (text: string, source = ''): Result<Contract, ContractError> => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (cause) {
    const options = { step: STEP, peer: source, cause };
    return err(new ContractError('(root)', 'is not valid JSON', options));
  }
  const parsed = contractSchema.safeParse(json);
  if (!parsed.success) {
    const { field, reason } = describeSchemaError(parsed.error);
    return err(new ContractError(field, reason, { step: STEP, peer: source }));
  }
  const issue = findIssue(parsed.data);
  if (issue === undefined) return ok(parsed.data);
  return err(new ContractError(issue.field, issue.reason, { step: STEP, peer: source }));
};
