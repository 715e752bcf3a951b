import type { AdmissionLoad, RotatingHistogram } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { InstanceState } from '../proto/mod.ts';
import { type Candidate, type CandidateOptions, listCandidates } from './_candidates.ts';
import type { InstanceView } from './choose_instance.ts';
import { createOutlierEjection } from './outlier_ejection.ts';
import type { AttemptReport } from './router.ts';

/** An instance with the node that hosts it and the address of that node. */
export interface InstanceEndpoint extends InstanceView {
  readonly node: string;
  readonly peerAddress: string;
  /** Age in ms of the latest load report; undefined before the first one. */
  readonly loadAgeMs: number | undefined;
}

/** The instances of one service, with the load, latency and health that this node observes. */
export interface ServiceView {
  readonly instanceViews: (excluded: ReadonlySet<string>) => readonly InstanceEndpoint[];
  /** Counts a request as outstanding; each call must be followed by one `report`. */
  readonly recordSent: (instance: string) => void;
  readonly report: (report: AttemptReport) => void;
  /** Rebuilds the list of instances on the next use. */
  readonly invalidate: () => void;
  /** Delay in ms after which a lookup may be hedged; `undefined` while it must not be hedged. */
  readonly hedgeDelayMs: () => number | undefined;
}

/** Options of a service view. */
export interface ServiceViewOptions extends CandidateOptions {
  readonly clock: Clock;
  /** Durations of lookups, from which the hedge delay is computed; without it, none is hedged. */
  readonly lookupTimes?: RotatingHistogram;
}

interface InstanceStats {
  outstanding: number;
  lastSentAt: number;
  load: AdmissionLoad | undefined;
  /** Requests of other nodes at the instance, from its latest load report. */
  remoteLoad: number;
  loadReportedAt: number;
  /** Moving average of the fraction of attempts that the instance refused. */
  refusalRate: number;
  refusalRateAt: number;
  /** Fraction of the requests of all nodes that the instance cannot take, from its load report. */
  excess: number;
  /** Time at which slow start begins; -Infinity for an instance that needs none. */
  slowStartAt: number;
  isCold: boolean;
}

const SLOW_START_MS = 10_000;
const MIN_TRAFFIC_SHARE = 0.1;
/** Instances discovered this soon after the view is created are older than it: no slow start. */
const INITIAL_DISCOVERY_MS = 2000;
/** Time constant with which a load report decays, as the load of other nodes changes. */
const LOAD_DECAY_MS = 1000;
const REFUSAL_DECAY_MS = 2000;
/** Time in ms for which a reported excess holds if no request brings the next report. */
const MAX_EXCESS_AGE_MS = 3000;
const REFUSAL_SAMPLE_WEIGHT = 0.1;
/** Outstanding attempts that are never reported are dropped after this time without a new one. */
const OUTSTANDING_EXPIRY_MS = 60_000;
const MIN_HEDGE_SAMPLES = 50;
const HEDGE_DELAY_PERCENTILE = 95;
const MAX_HEDGE_UTILISATION = 0.7;
const MAX_CLASS_MEAN_SAMPLES = 200;

/**
 * Creates the view of one service.
 *
 * @param service Name of the service.
 * @param options Clock, membership and size of the subset.
 * @returns The view, without any measurements.
 */
export const createServiceView = (service: string, options: ServiceViewOptions): ServiceView => {
  const { clock, lookupTimes } = options;
  const startedAt = clock.now();
  const statsByInstance = new Map<string, InstanceStats>();
  const ejection = createOutlierEjection(clock);
  const durationMeans = new Map<RequestClass, { mean: number; samples: number }>();
  let candidates: readonly Candidate[] | undefined;
  let allViews: readonly InstanceEndpoint[] = [];

  const updateStats = ({ instance, info }: Candidate) => {
    const now = clock.now();
    const isCold = info.state === InstanceState.INSTANCE_STATE_COLD;
    const known = statsByInstance.get(instance);
    if (known === undefined) {
      const isInitialDiscovery = now - startedAt < INITIAL_DISCOVERY_MS;
      statsByInstance.set(instance, {
        outstanding: 0,
        lastSentAt: now,
        load: undefined,
        remoteLoad: 0,
        loadReportedAt: now,
        refusalRate: 0,
        refusalRateAt: now,
        excess: 0,
        slowStartAt: isInitialDiscovery && !isCold ? -Infinity : now,
        isCold,
      });
      return;
    }
    if (known.isCold && !isCold) known.slowStartAt = now;
    known.isCold = isCold;
  };

  const acceptanceOf = (entry: InstanceStats) => {
    const now = clock.now();
    const decayed = entry.refusalRate * Math.exp((entry.refusalRateAt - now) / REFUSAL_DECAY_MS);
    const excess = now - entry.loadReportedAt > MAX_EXCESS_AGE_MS ? 0 : entry.excess;
    return Math.max(MIN_TRAFFIC_SHARE, 1 - Math.max(decayed, excess));
  };

  const trafficShareOf = (instance: string, entry: InstanceStats) => {
    const now = clock.now();
    const rampStartAt = Math.max(entry.slowStartAt, ejection.ejectedUntil(instance) ?? -Infinity);
    const rampFraction = entry.isCold ? 0 : Math.min(1, (now - rampStartAt) / SLOW_START_MS);
    return Math.max(MIN_TRAFFIC_SHARE, rampFraction) * acceptanceOf(entry);
  };

  const loadOf = ({
    outstanding, lastSentAt, remoteLoad, loadReportedAt,
  }: InstanceStats) => {
    const now = clock.now();
    const own = now - lastSentAt > OUTSTANDING_EXPIRY_MS ? 0 : outstanding;
    return own + remoteLoad * Math.exp((loadReportedAt - now) / LOAD_DECAY_MS);
  };

  /** Creates a view with live getters, so that one per instance serves every decision. */
  const createView = ({
    instance, member, info, distance,
  }: Candidate, entry: InstanceStats): InstanceEndpoint => ({
    instance,
    node: member.node,
    peerAddress: member.peerAddress,
    distance,
    failureDomain: member.failureDomain,
    get load() {
      return loadOf(entry);
    },
    get loadAgeMs() {
      return entry.load === undefined ? undefined : clock.now() - entry.loadReportedAt;
    },
    get slots() {
      return entry.load?.limit ?? Math.max(1, info.slots);
    },
    get serviceRate() {
      return entry.load?.serviceRate ?? 0;
    },
    get trafficShare() {
      return trafficShareOf(instance, entry);
    },
    get acceptance() {
      return acceptanceOf(entry);
    },
    get ejected() {
      return ejection.isEjected(instance);
    },
  });

  const refresh = () => {
    if (candidates !== undefined) return candidates;
    candidates = listCandidates(service, options);
    const names = new Set(candidates.map(({ instance }) => instance));
    for (const name of statsByInstance.keys()) if (!names.has(name)) statsByInstance.delete(name);
    for (const candidate of candidates) updateStats(candidate);
    ejection.setInstances([...names]);
    allViews = candidates.map((candidate) => (
      createView(candidate, statsByInstance.get(candidate.instance)!)
    ));
    return candidates;
  };

  const instanceViews: ServiceView['instanceViews'] = (excluded) => {
    refresh();
    if (excluded.size === 0) return allViews;
    return allViews.filter(({ instance }) => !excluded.has(instance));
  };

  /** Ratio of a duration to the mean of its request class over all instances. */
  const latencyRatioOf = ({ requestClass, durationMs }: AttemptReport) => {
    const entry = durationMeans.get(requestClass) ?? { mean: durationMs, samples: 0 };
    entry.samples += 1;
    entry.mean += (durationMs - entry.mean) / Math.min(entry.samples, MAX_CLASS_MEAN_SAMPLES);
    durationMeans.set(requestClass, entry);
    return entry.mean > 0 ? durationMs / entry.mean : 1;
  };

  const recordHealth = (report: AttemptReport) => {
    const { instance, outcome, requestClass } = report;
    if (outcome === 'cancelled' || outcome === 'refused') return;
    const isFailure = outcome === 'failure' || outcome === 'timeout';
    // The duration of a bulk request depends on its size, and a failure may be fast.
    const latencyRatio = outcome === 'failure' || requestClass === 'bulk'
      ? undefined
      : latencyRatioOf(report);
    ejection.record({ instance, isFailure, latencyRatio });
  };

  const report: ServiceView['report'] = (attempt) => {
    const now = clock.now();
    const { outcome, load, durationMs } = attempt;
    if (outcome === 'success' && attempt.requestClass === 'lookup') lookupTimes?.record(durationMs);
    const entry = statsByInstance.get(attempt.instance);
    if (entry === undefined) return;
    entry.outstanding = Math.max(0, entry.outstanding - 1);
    if (load !== undefined) {
      entry.load = load;
      entry.remoteLoad = Math.max(0, load.inFlight + load.queued - entry.outstanding);
      entry.loadReportedAt = now;
      entry.excess = load.excess?.timely ?? 0;
    }
    if (outcome !== 'cancelled') {
      const decayed = entry.refusalRate * Math.exp((entry.refusalRateAt - now) / REFUSAL_DECAY_MS);
      entry.refusalRate = decayed
        + ((outcome === 'refused' ? 1 : 0) - decayed) * REFUSAL_SAMPLE_WEIGHT;
      entry.refusalRateAt = now;
    }
    recordHealth(attempt);
  };

  const isBusy = () => {
    let used = 0;
    let slots = 0;
    for (const { load } of statsByInstance.values()) {
      if (load === undefined) continue;
      used += load.inFlight + load.queued;
      slots += load.limit;
    }
    return used > slots * MAX_HEDGE_UTILISATION;
  };

  return {
    instanceViews,
    recordSent: (instance) => {
      refresh();
      const entry = statsByInstance.get(instance);
      if (entry === undefined) return;
      const isExpired = clock.now() - entry.lastSentAt > OUTSTANDING_EXPIRY_MS;
      entry.outstanding = isExpired ? 1 : entry.outstanding + 1;
      entry.lastSentAt = clock.now();
    },
    report,
    invalidate: () => {
      candidates = undefined;
    },
    hedgeDelayMs: () => {
      if (lookupTimes === undefined || lookupTimes.count() < MIN_HEDGE_SAMPLES || isBusy()) {
        return undefined;
      }
      return lookupTimes.percentile(HEDGE_DELAY_PERCENTILE);
    },
  };
};
