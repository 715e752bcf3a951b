import type { PublishedContract, PublishedRoute } from '../contract/mod.ts';

/** Finds the route of a request. */
export interface RouteTable {
  readonly revision: number;
  readonly contract: PublishedContract;
  readonly match: (host: string, path: string) => PublishedRoute | undefined;
}

const withoutPort = (host: string) => {
  const separator = host.lastIndexOf(':');
  return (separator > 0 && !host.endsWith(']') ? host.slice(0, separator) : host).toLowerCase();
};

const pathOf = (target: string) => {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
};

/**
 * Prepares the routes of a contract for look-ups: the longest prefix of a host wins.
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
 * Chooses the service of one request in proportion to the weights of the route.
 *
 * @param route The route.
 * @param random Uniform numbers from 0 to less than 1.
 * @returns The service; undefined for a route without any.
 *
 * @example
 * const service = chooseService(route, Math.random);
 */
export const chooseService = (
  { targets }: PublishedRoute,
  random: () => number,
): string | undefined => {
  if (targets.length < 2) return targets[0]?.service;
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  for (const { service, weight } of targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return targets.at(-1)!.service;
};
