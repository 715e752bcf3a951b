import { createHash } from 'node:crypto';

/** Returns the bearer token of a benchmark customer. */
export const benchBearerToken = (customer: string) => `${customer}-bench-token`;

const UNREACHABLE_LIMIT = 1_000_000;

/**
 * Creates the contract of one customer with one keyed lookup route. Its limits are above what a
 * benchmark can reach. A different route name suffix makes a different contract.
 */
export const createBenchContract = (customer: string, slotCount: number, routeNameSuffix = '') => ({
  customer,
  tokenHashes: [createHash('sha256').update(benchBearerToken(customer)).digest('hex')],
  share: 1,
  limits: { requestsPerSecond: UNREACHABLE_LIMIT, concurrency: UNREACHABLE_LIMIT },
  services: [{
    name: 'ledger', keyed: true, slotCount, checksGrants: false, refusalStatuses: [503],
  }],
  routes: [{
    name: `turn-lookup${routeNameSuffix}`,
    host: '*',
    path: '/turns/:plot',
    methods: ['GET'],
    service: 'ledger',
    class: 'lookup',
    key: { from: 'path', name: 'plot' },
    deadlineMs: 2000,
    retries: 2,
    hedge: false,
  }],
});
