import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Prometheus metrics of a node. Their labels have a bounded number of values. */
export interface NodeMetrics {
  readonly recordRequest: (kind: string, outcome: string, durationMs: number) => void;
  readonly recordRefusal: (step: string) => void;
  /** Counts a request that was answered with an error of this node, and may have run. */
  readonly recordUnknown: (step: string, status: number, cause: string) => void;
  /** Counts a request by its sender: `call` of the local instance, `caller` or `unsure`. */
  readonly recordOrigin: (origin: string) => void;
  /** Counts a refusal of a request that a node in a failure domain had forwarded to this one. */
  readonly recordPeerRefusal: (step: string, domain: string) => void;
  /** Counts a refusal by the slot queue of the local instance. */
  readonly recordSlotRefusal: (cause: string) => void;
  readonly recordQueueTime: (durationMs: number) => void;
  readonly recordRun: (kind: string, durationMs: number) => void;
  readonly recordAttempt: (target: string, outcome: string, durationMs: number) => void;
  /** Records the age in ms of the load report by which an instance was chosen. */
  readonly recordLoadAge: (ageMs: number) => void;
  /** Sets the fraction of the requests for a service that is sent to another failure domain. */
  readonly setSpilloverShare: (service: string, domain: string, share: number) => void;
  /** Counts an end of a connection or of the process with requests open: by whom, and why. */
  readonly recordOpenEnd: (
    end: Readonly<Record<'what' | 'listener' | 'by' | 'why', string>>,
  ) => void;
  readonly recordRetry: (service: string, reason: string) => void;
  readonly recordStoreCall: (call: string, outcome: string) => void;
  /** Counts what was written again after the store had been restored from an older copy. */
  readonly recordRewrite: (what: string) => void;
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
  const unknowns = new Counter({
    name: `${PREFIX}unknown_total`,
    help: 'Requests that may have run and got an error of this node, by step, status and cause',
    labelNames: ['step', 'status', 'cause'],
    registers,
  });
  const refusals = new Counter({
    name: `${PREFIX}refusals_total`,
    help: 'Refused requests by the step that refused',
    labelNames: ['step'],
    registers,
  });
  const origins = new Counter({
    name: `${PREFIX}request_origins_total`,
    help: 'Requests at the caller listener by sender: call of the instance, caller or unsure',
    labelNames: ['origin'],
    registers,
  });
  const peerRefusals = new Counter({
    name: `${PREFIX}peer_refusals_total`,
    help: 'Refused requests of other nodes by the step that refused and the failure domain',
    labelNames: ['step', 'domain'],
    registers,
  });
  const queueTimes = new Histogram({
    name: `${PREFIX}queue_duration_ms`,
    help: 'Wait of a request for a slot of the local instance',
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const slotRefusals = new Counter({
    name: `${PREFIX}slot_refusals_total`,
    help: 'Requests that the slot queue of the local instance refused, by cause',
    labelNames: ['cause'],
    registers,
  });
  const runs = new Histogram({
    name: `${PREFIX}run_duration_ms`,
    help: 'Time from the start of a request at the local instance to the end of its response',
    labelNames: ['kind'],
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const attempts = new Histogram({
    name: `${PREFIX}attempt_duration_ms`,
    help: 'Duration of an attempt at the instance of this or another host, by outcome',
    labelNames: ['target', 'outcome'],
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const loadAges = new Histogram({
    name: `${PREFIX}load_report_age_ms`,
    help: 'Age of the load report by which an instance was chosen',
    buckets: DURATION_BUCKETS_MS,
    registers,
  });
  const spilloverShares = new Gauge({
    name: `${PREFIX}spillover_share`,
    help: 'Fraction of the requests for a service that is sent to another failure domain',
    labelNames: ['service', 'domain'],
    registers,
  });
  const retries = new Counter({
    name: `${PREFIX}retries_total`,
    help: 'Sends beyond the first of a request',
    labelNames: ['service', 'reason'],
    registers,
  });
  const openEnds = new Counter({
    name: `${PREFIX}open_ends_total`,
    help: 'Ends of connections and of the process with requests open, by whom and why',
    labelNames: ['what', 'listener', 'by', 'why'],
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
  const rewrites = new Counter({
    name: `${PREFIX}store_rewrites_total`,
    help: 'What this node has written again since the store was restored from an older copy',
    labelNames: ['what'],
    registers,
  });
  return {
    recordRequest: (kind, outcome, durationMs) => {
      requests.inc({ kind, outcome });
      durations.observe({ kind }, durationMs);
    },
    recordOrigin: (origin) => origins.inc({ origin }),
    recordRefusal: (step) => refusals.inc({ step }),
    recordUnknown: (step, status, cause) => unknowns.inc({ step, status, cause }),
    recordPeerRefusal: (step, domain) => peerRefusals.inc({ step, domain }),
    recordSlotRefusal: (cause) => slotRefusals.inc({ cause }),
    recordRun: (kind, durationMs) => runs.observe({ kind }, durationMs),
    recordAttempt: (target, outcome, durationMs) => attempts.observe(
      { target, outcome },
      durationMs,
    ),
    recordLoadAge: (ageMs) => loadAges.observe(ageMs),
    setSpilloverShare: (service, domain, share) => (
      spilloverShares.set({ service, domain }, share)
    ),
    recordQueueTime: (durationMs) => queueTimes.observe(durationMs),
    recordOpenEnd: ({
      what, listener, by, why,
    }) => openEnds.inc({
      what, listener, by, why,
    }),
    recordRetry: (service, reason) => retries.inc({ service, reason }),
    recordStoreCall: (call, outcome) => storeCalls.inc({ call, outcome }),
    recordRewrite: (what) => rewrites.inc({ what }),
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
