import type { PublishedContract, PublishedRoute } from '../contract/mod.ts';

/** Matches requests to the routes of one contract revision. */
export interface RouteTable {
  readonly revision: number;
  readonly contract: PublishedContract;
  /** Returns the route for a Host header and a request target, or undefined without a match. */
  readonly match: (host: string, target: string) => PublishedRoute | undefined;
}

const withoutPort = (host: string) => {
  const separator = host.lastIndexOf(':');
  return (separator > 0 && !host.endsWith(']') ? host.slice(0, separator) : host).toLowerCase();
};

const pathOf = (target: string) => {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
};

/**
 * Creates the route table of a contract. The route of the host with the longest matching path
 * prefix wins.
 *
 * @param contract The contract.
 * @returns The table.
 *
 * @example
 * const route = createRouteTable(contract).match('shop.example', '/orders/7');
 */
export const createRouteTable = (contract: PublishedContract): RouteTable => {
  const byHost = new Map<string, PublishedRoute[]>();
  for (const route of contract.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((left, right) => right.prefix.length - left.prefix.length);
  }
  return {
    revision: contract.revision,
    contract,
    match: (host, target) => {
      const path = pathOf(target);
      const routes = byHost.get(withoutPort(host)) ?? [];
      return routes.find(({ prefix }) => path.startsWith(prefix));
    },
  };
};

/**
 * Chooses the service of a request at random, in proportion to the weights of the route.
 *
 * @param route The route.
 * @param random Returns uniform numbers from 0 to less than 1.
 * @returns The service, or undefined when the route has none.
 *
 * @example
 * const service = chooseService(route, Math.random);
 */
export const chooseService = (
  { targets }: PublishedRoute,
  random: () => number,
): string | undefined => {
  if (targets.length < 2) return targets[0]?.service;
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * totalWeight;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)!.service;
};
