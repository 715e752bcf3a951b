import { createHash } from 'node:crypto';

/** Bearer token of a customer of the bench. */
export const benchTokenOf = (customer: string) => `${customer}-bench-token`;

const HUGE = 1_000_000;

/** Contract of one customer with a keyed lookup and no limit that a bench could reach. */
export const createBenchContract = (customer: string, slotCount: number, note = '') => ({
  customer,
  tokenHashes: [createHash('sha256').update(benchTokenOf(customer)).digest('hex')],
  share: 1,
  limits: { requestsPerSecond: HUGE, concurrency: HUGE },
  services: [{
    name: 'ledger', keyed: true, slotCount, checksGrants: false, refusalStatuses: [503],
  }],
  routes: [{
    name: `turn-lookup${note}`,
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
