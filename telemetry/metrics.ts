import { StatsD } from 'hot-shots';

/** Names of all metrics. */
export const metricNames = {
  requestsAnswered: 'requests.answered',
  requestsRefused: 'requests.refused',
  requestDurationMs: 'requests.duration_ms',
  queueDurationMs: 'admission.queue_ms',
  retries: 'requests.retries',
  hedges: 'requests.hedges',
  takeovers: 'placement.takeovers',
  movedSlots: 'placement.moved_slots',
  leaseLapses: 'lease.lapses',
  storeCalls: 'store.calls',
} as const;

/** Name of a metric. */
export type MetricName = (typeof metricNames)[keyof typeof metricNames];

/** Tags of a metric value, by name. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends counters and timings without blocking; errors of sending are ignored. */
export interface Metrics {
  readonly increment: (name: MetricName, tags?: MetricTags) => void;
  readonly timing: (name: MetricName, durationMs: number, tags?: MetricTags) => void;
  readonly close: () => void;
}

/** Options of the metrics client. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  readonly node: string;
}

/**
 * Creates metrics that are sent to a StatsD server over UDP.
 *
 * @param options Address of the server, and the name of the node, which is sent as a tag.
 * @returns The metrics.
 *
 * @example
 * const metrics = createMetrics({ host: '127.0.0.1', port: 8125, node: 'host-1' });
 * metrics.increment(metricNames.requestsAnswered, { class: 'lookup' });
 */
export const createMetrics = (options: MetricsOptions): Metrics => {
  const client = new StatsD({
    host: options.host,
    port: options.port,
    prefix: 'marjoramhollow.',
    globalTags: { node: options.node },
    maxBufferSize: 1400,
    errorHandler: () => undefined,
  });
  return {
    increment: (name, tags = {}) => client.increment(name, 1, { ...tags }),
    timing: (name, durationMs, tags = {}) => client.timing(name, durationMs, { ...tags }),
    close: () => client.close(() => undefined),
  };
};

const discard = () => undefined;

/** Metrics that are discarded, for tests and for nodes without a metrics server. */
export const noopMetrics: Metrics = { increment: discard, timing: discard, close: discard };
