import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Prometheus metrics of a node. Their labels have a bounded number of values. */
export interface NodeMetrics {
  readonly recordRequest: (kind: string, outcome: string, durationMs: number) => void;
  readonly recordRefusal: (step: string) => void;
  readonly recordQueueTime: (durationMs: number) => void;
  readonly recordRetry: (service: string, reason: string) => void;
  readonly recordStoreCall: (call: string, outcome: string) => void;
  readonly recordRows: (reason: string, rows: number) => void;
  /** Registers a gauge whose value is read whenever the metrics are collected. */
  readonly observe: (name: string, help: string, read: () => number) => void;
  /** Returns all metrics in the text format of Prometheus. */
  readonly text: () => Promise<string>;
}

const PREFIX = 'marjoramhollow_';
/** Upper bounds of the buckets. Latency targets and deadlines of routes are 100 to 5000 ms. */
const DURATION_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000];

/**
 * Creates the metrics of a node in a separate registry.
 *
 * @returns The metrics.
 *
 * @example
 * const metrics = createNodeMetrics();
 * metrics.recordRequest('safe', 'answered', 12);
 */
export const createNodeMetrics = (): NodeMetrics => {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: 'Requests of callers by kind of route and outcome',
    labelNames: ['kind', 'outcome'],
    registers,
  });
  const durations = new Histogram({
    name: `${PREFIX}request_duration_ms`,
    help: 'Time from the arrival of a request to the end of its answer',
    labelNames: ['kind'],
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const refusals = new Counter({
    name: `${PREFIX}refusals_total`,
    help: 'Refused requests by the step that refused',
    labelNames: ['step'],
    registers,
  });
  const queueTimes = new Histogram({
    name: `${PREFIX}queue_duration_ms`,
    help: 'Wait of a request for a slot of the local instance',
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const retries = new Counter({
    name: `${PREFIX}retries_total`,
    help: 'Sends beyond the first of a request',
    labelNames: ['service', 'reason'],
    registers,
  });
  const storeCalls = new Counter({
    name: `${PREFIX}store_calls_total`,
    help: 'Calls to the store by kind and result',
    labelNames: ['call', 'outcome'],
    registers,
  });
  const rows = new Counter({
    name: `${PREFIX}range_rows_changed_total`,
    help: 'Rows of range records that this node changed',
    labelNames: ['reason'],
    registers,
  });
  return {
    recordRequest: (kind, outcome, durationMs) => {
      requests.inc({ kind, outcome });
      durations.observe({ kind }, durationMs);
    },
    recordRefusal: (step) => refusals.inc({ step }),
    recordQueueTime: (durationMs) => queueTimes.observe(durationMs),
    recordRetry: (service, reason) => retries.inc({ service, reason }),
    recordStoreCall: (call, outcome) => storeCalls.inc({ call, outcome }),
    recordRows: (reason, count) => rows.inc({ reason }, count),
    observe: (name, help, read) => {
      const gauge: Gauge = new Gauge({
        name: `${PREFIX}${name}`,
        help,
        registers,
        collect: () => gauge.set(read()),
      });
    },
    text: () => registry.metrics(),
  };
};
