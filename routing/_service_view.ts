import { type AdmissionLoad, createRotatingHistogram } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import type { Membership } from '../membership/mod.ts';
import {
  type InstanceInfo, InstanceState, MemberState, type MemberUpdate,
} from '../proto/mod.ts';
import type { InstanceView } from './choose_instance.ts';
import { chooseSubset, type SubsetOptions } from './choose_subset.ts';
import { createOutlierEjection } from './outlier_ejection.ts';
import type { AttemptReport } from './router.ts';

/** An instance with its place. */
export interface PlacedView extends InstanceView {
  readonly node: string;
  readonly peerAddress: string;
}

/** What this node knows of the instances of one service. */
export interface ServiceView {
  readonly views: (excluded: ReadonlySet<string>) => readonly PlacedView[];
  readonly sent: (instance: string) => void;
  readonly report: (report: AttemptReport) => void;
  /** Has the list of instances built again at the next use. */
  readonly invalidate: () => void;
  readonly hedgeDelayMs: () => number | undefined;
}

/** Options of a service view. */
export interface ServiceViewOptions {
  readonly clock: Clock;
  readonly membership: Pick<Membership, 'self' | 'members'>;
  readonly subset?: SubsetOptions;
}

interface Candidate {
  readonly instance: string;
  readonly member: MemberUpdate;
  readonly info: InstanceInfo;
  readonly isNear: boolean;
  readonly distance: number;
}

interface Tracked {
  outstanding: number;
  sentAt: number;
  load: AdmissionLoad | undefined;
  /** Requests that others had at the instance, by its last report. */
  othersLoad: number;
  loadAt: number;
  /** Fraction of recent attempts that the instance refused. */
  shedRate: number;
  shedAt: number;
  /** Start of the slow start; -Infinity when the instance is warm. */
  warmingSince: number;
  isCold: boolean;
}

const SLOW_START_MS = 10_000;
const MIN_ACCEPTANCE = 0.1;
/** Instances known within this time of the first look were there before this node. */
const INITIAL_VIEW_MS = 2000;
/** A report of load loses weight with this time constant. */
const LOAD_DECAY_MS = 1000;
const SHED_DECAY_MS = 2000;
const SHED_WEIGHT = 0.1;
/** Attempts that were never reported are forgotten after this time without a new one. */
const OUTSTANDING_EXPIRY_MS = 60_000;
const MIN_HEDGE_SAMPLES = 50;
const HEDGE_PERCENT = 95;
const MAX_HEDGE_UTILISATION = 0.7;
const CLASS_MEAN_SAMPLES = 200;

/** Creates the view of one service. */
export const createServiceView = (service: string, options: ServiceViewOptions): ServiceView => {
  const { clock, membership } = options;
  const startedAt = clock.now();
  const tracked = new Map<string, Tracked>();
  const ejection = createOutlierEjection(clock);
  const lookupTimes = createRotatingHistogram(clock);
  const classMeans = new Map<RequestClass, { mean: number; samples: number }>();
  let candidates: readonly Candidate[] | undefined;
  let allViews: readonly PlacedView[] = [];

  const distanceTo = (member: MemberUpdate, self: MemberUpdate) => {
    if (member.region !== self.region) return 2;
    return member.failureDomain === self.failureDomain ? 0 : 1;
  };

  const listCandidates = (): readonly Candidate[] => {
    const self = membership.self();
    const found: Candidate[] = [];
    const suspected: Candidate[] = [];
    for (const member of membership.members()) {
      for (const info of member.instances) {
        if (info.service !== service || info.state === InstanceState.INSTANCE_STATE_DRAINING) {
          continue;
        }
        const distance = distanceTo(member, self);
        const list = member.state === MemberState.MEMBER_STATE_ALIVE ? found : suspected;
        list.push({
          instance: info.instance, member, info, distance, isNear: distance === 0,
        });
      }
    }
    // A suspected node gets requests only when no other is left.
    return chooseSubset(self.node, found.length > 0 ? found : suspected, options.subset);
  };

  const track = ({ instance, info }: Candidate) => {
    const now = clock.now();
    const isCold = info.state === InstanceState.INSTANCE_STATE_COLD;
    const known = tracked.get(instance);
    if (known === undefined) {
      const isInitial = now - startedAt < INITIAL_VIEW_MS;
      tracked.set(instance, {
        outstanding: 0,
        sentAt: now,
        load: undefined,
        othersLoad: 0,
        loadAt: now,
        shedRate: 0,
        shedAt: now,
        warmingSince: isInitial && !isCold ? -Infinity : now,
        isCold,
      });
      return;
    }
    if (known.isCold && !isCold) known.warmingSince = now;
    known.isCold = isCold;
  };

  const acceptanceOf = (instance: string, entry: Tracked) => {
    const now = clock.now();
    const since = Math.max(entry.warmingSince, ejection.returnedAt(instance) ?? -Infinity);
    const warmth = entry.isCold ? 0 : Math.min(1, (now - since) / SLOW_START_MS);
    const shed = entry.shedRate * Math.exp((entry.shedAt - now) / SHED_DECAY_MS);
    return Math.max(MIN_ACCEPTANCE, warmth) * Math.max(MIN_ACCEPTANCE, 1 - shed);
  };

  const loadOf = ({
    outstanding, sentAt, othersLoad, loadAt,
  }: Tracked) => {
    const now = clock.now();
    const own = now - sentAt > OUTSTANDING_EXPIRY_MS ? 0 : outstanding;
    return own + othersLoad * Math.exp((loadAt - now) / LOAD_DECAY_MS);
  };

  /** A view that reads the present state, so that it is built once for each list of instances. */
  const createView = ({
    instance, member, info, distance,
  }: Candidate, entry: Tracked): PlacedView => ({
    instance,
    node: member.node,
    peerAddress: member.peerAddress,
    distance,
    get load() {
      return loadOf(entry);
    },
    get slots() {
      return entry.load?.limit ?? Math.max(1, info.slots);
    },
    get serviceRate() {
      return entry.load?.serviceRate ?? 0;
    },
    get acceptance() {
      return acceptanceOf(instance, entry);
    },
    get ejected() {
      return ejection.isEjected(instance);
    },
  });

  const refresh = () => {
    if (candidates !== undefined) return candidates;
    candidates = listCandidates();
    const names = new Set(candidates.map(({ instance }) => instance));
    for (const name of tracked.keys()) if (!names.has(name)) tracked.delete(name);
    for (const candidate of candidates) track(candidate);
    ejection.retain([...names]);
    allViews = candidates.map((candidate) => (
      createView(candidate, tracked.get(candidate.instance)!)
    ));
    return candidates;
  };

  const views: ServiceView['views'] = (excluded) => {
    refresh();
    if (excluded.size === 0) return allViews;
    return allViews.filter(({ instance }) => !excluded.has(instance));
  };

  /** Duration over the mean of its class over all instances. */
  const slownessOf = ({ requestClass, durationMs }: AttemptReport) => {
    const entry = classMeans.get(requestClass) ?? { mean: durationMs, samples: 0 };
    entry.samples += 1;
    entry.mean += (durationMs - entry.mean) / Math.min(entry.samples, CLASS_MEAN_SAMPLES);
    classMeans.set(requestClass, entry);
    return entry.mean > 0 ? durationMs / entry.mean : 1;
  };

  const recordHealth = (report: AttemptReport) => {
    const { instance, outcome, requestClass } = report;
    if (outcome === 'cancelled' || outcome === 'refused') return;
    const isFailure = outcome === 'failure' || outcome === 'timeout';
    // The time of a bulk request depends on its size, and a failure may be quick.
    const slowness = outcome === 'failure' || requestClass === 'bulk'
      ? undefined
      : slownessOf(report);
    ejection.record({ instance, isFailure, slowness });
  };

  const report: ServiceView['report'] = (attempt) => {
    const now = clock.now();
    const { outcome, load, durationMs } = attempt;
    if (outcome === 'success' && attempt.requestClass === 'lookup') lookupTimes.record(durationMs);
    const entry = tracked.get(attempt.instance);
    if (entry === undefined) return;
    entry.outstanding = Math.max(0, entry.outstanding - 1);
    if (load !== undefined) {
      entry.load = load;
      entry.othersLoad = Math.max(0, load.inFlight + load.queued - entry.outstanding);
      entry.loadAt = now;
    }
    if (outcome !== 'cancelled') {
      const shed = entry.shedRate * Math.exp((entry.shedAt - now) / SHED_DECAY_MS);
      entry.shedRate = shed + ((outcome === 'refused' ? 1 : 0) - shed) * SHED_WEIGHT;
      entry.shedAt = now;
    }
    recordHealth(attempt);
  };

  const isBusy = () => {
    let used = 0;
    let slots = 0;
    for (const { load } of tracked.values()) {
      if (load === undefined) continue;
      used += load.inFlight + load.queued;
      slots += load.limit;
    }
    return used > slots * MAX_HEDGE_UTILISATION;
  };

  return {
    views,
    sent: (instance) => {
      refresh();
      const entry = tracked.get(instance);
      if (entry === undefined) return;
      const isExpired = clock.now() - entry.sentAt > OUTSTANDING_EXPIRY_MS;
      entry.outstanding = isExpired ? 1 : entry.outstanding + 1;
      entry.sentAt = clock.now();
    },
    report,
    invalidate: () => {
      candidates = undefined;
    },
    hedgeDelayMs: () => {
      if (lookupTimes.count() < MIN_HEDGE_SAMPLES || isBusy()) return undefined;
      return lookupTimes.percentile(HEDGE_PERCENT);
    },
  };
};
