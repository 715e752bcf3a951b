import { createHash } from 'node:crypto';
import type { Contract, Route, ServiceDefinition } from './contract.ts';

/** The parts of a request that select its route. */
export interface RequestTarget {
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  readonly method: string;
}

/** The route that matches a request, and the path parameters of the request. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: ServiceDefinition;
  readonly parameters: ReadonlyMap<string, string>;
}

/** Contracts, indexed for matching requests. */
export interface CompiledContracts {
  readonly findContract: (token: string) => Contract | undefined;
  readonly findRoute: (contract: Contract, target: RequestTarget) => RouteMatch | undefined;
  readonly findService: (service: string) => ServiceDefinition | undefined;
  /**
   * Names of services that several contracts define differently. The definition of the first
   * customer by name is used.
   */
  readonly conflicts: readonly string[];
}

interface CompiledRoute {
  readonly route: Route;
  readonly service: ServiceDefinition;
  readonly segments: readonly string[];
}

const hashToken = (token: string) => createHash('sha256').update(token).digest('hex');

const decodeSegment = (segment: string): string | undefined => {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
};

const matchPath = (
  pattern: readonly string[],
  path: readonly string[],
): ReadonlyMap<string, string> | undefined => {
  const parameters = new Map<string, string>();
  for (const [index, expected] of pattern.entries()) {
    if (expected === '*' && index === pattern.length - 1) return parameters;
    const actual = path[index];
    if (actual === undefined) return undefined;
    if (expected.startsWith(':')) {
      const value = decodeSegment(actual);
      if (value === undefined || value === '') return undefined;
      parameters.set(expected.slice(1), value);
    } else if (expected !== actual) return undefined;
  }
  return pattern.length === path.length ? parameters : undefined;
};

const stripPort = (host: string) => host.replace(/:\d+$/u, '').toLowerCase();

const compileRoutes = (contract: Contract): readonly CompiledRoute[] => {
  const services = new Map(contract.services.map((service) => [service.name, service]));
  return contract.routes.flatMap((route) => {
    const service = services.get(route.service);
    return service === undefined ? [] : [{ route, service, segments: route.path.split('/') }];
  });
};

/**
 * Indexes contracts for matching requests.
 *
 * @param contracts The active contracts, one per customer.
 * @returns Lookups by token, route and service.
 *
 * @example
 * const compiled = compileContracts([contract]);
 * const customer = compiled.findContract('secret');
 */
export const compileContracts = (contracts: readonly Contract[]): CompiledContracts => {
  const byTokenHash = new Map<string, Contract>();
  const routes = new Map<Contract, readonly CompiledRoute[]>();
  const services = new Map<string, ServiceDefinition>();
  const conflicts: string[] = [];
  const sorted = [...contracts]
    .sort((left, right) => (left.customer < right.customer ? -1 : 1));
  for (const contract of sorted) {
    for (const hash of contract.tokenHashes) byTokenHash.set(hash, contract);
    for (const service of contract.services) {
      const existing = services.get(service.name);
      if (existing === undefined) services.set(service.name, service);
      else if (JSON.stringify(existing) !== JSON.stringify(service)) conflicts.push(service.name);
    }
    routes.set(contract, compileRoutes(contract));
  }

  const findRoute: CompiledContracts['findRoute'] = (contract, target) => {
    const pathSegments = target.path.split('/');
    const host = stripPort(target.host);
    for (const { route, service, segments } of routes.get(contract) ?? []) {
      if (route.host !== '*' && route.host.toLowerCase() !== host) continue;
      if (!route.methods.includes(target.method)) continue;
      const parameters = matchPath(segments, pathSegments);
      if (parameters !== undefined) {
        return { route, service: services.get(service.name) ?? service, parameters };
      }
    }
    return undefined;
  };

  return {
    findContract: (token) => byTokenHash.get(hashToken(token)),
    findRoute,
    findService: (service) => services.get(service),
    conflicts,
  };
};
