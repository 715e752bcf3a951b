/** State of an instance that load balancing considers. */
export interface InstanceView {
  readonly instance: string;
  /** 0: same failure domain, 1: same region, 2: another region. */
  readonly distance: number;
  readonly failureDomain?: string;
  /** Estimated number of requests in flight and queued at the instance. */
  readonly load: number;
  /** Requests that the instance runs concurrently. */
  readonly slots: number;
  /** Measured requests per second that the instance can serve; 0 when unknown. */
  readonly serviceRate: number;
  /** Fraction of its usual traffic to send, reduced by slow start and by recent refusals. */
  readonly trafficShare: number;
  /** Fraction of the requests that the instance takes; all by default. */
  readonly acceptance?: number;
  /** Whether outlier detection has ejected the instance. */
  readonly ejected: boolean;
}

/** Options of `chooseInstance`. */
export interface ChooseInstanceOptions {
  /** Returns uniformly distributed numbers in [0, 1). */
  readonly random: () => number;
  /** Failure domain by the shares of the service; without it, the rule by ratio decides. */
  readonly preference?: DomainPreference;
}

/** Failure domain that a request is to be served in. */
export interface DomainPreference {
  /** `undefined` for the own domain. */
  readonly domain: string | undefined;
  /**
   * Returns the terms on which a request may go to another domain because the chosen instance of
   * the own one is busy; `undefined` if nothing is known of the domain.
   */
  readonly overflowTo: (domain: string) => OverflowTerms | undefined;
}

/** Terms of sending a request to another failure domain. */
export interface OverflowTerms {
  /** Fraction of the requests that the domain has free slots for. */
  readonly room: number;
  /** Round trip and price of the transfer in ms. */
  readonly costMs: number;
}

/** A chosen instance and why it was chosen. */
export interface InstanceChoice<View extends InstanceView> {
  readonly view: View;
  readonly reason: string;
}

/** A farther instance is chosen when the nearer one's expected wait is this many times as long. */
const SPILLOVER_RATIO = 1.5;
/** Below this utilisation of its slots an instance answers without queueing: stay in its domain. */
const MIN_SPILLOVER_UTILISATION = 0.85;
/** Round trip to another failure domain, added to the expected wait there while it is unknown. */
const CROSS_DOMAIN_COST_MS = 1;
/**
 * Load per slot above which instances are chosen at random, weighted by service rate over load.
 * Queues near their bounds are all about equally long. Choosing the shorter wait would then follow
 * noise in the measured rates and send most requests to one instance after another, where customers
 * get service out of proportion to their shares.
 */
const LONG_QUEUE_LOAD_PER_SLOT = 4;
const MS_PER_SECOND = 1000;
/** Rate used while no instance has a measured rate; only ratios matter then. */
const DEFAULT_RATE = 100;

/** Median of the measured rates. */
const medianRate = (views: readonly InstanceView[]) => {
  const known = views.map(({ serviceRate }) => serviceRate).filter((rate) => rate > 0);
  known.sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? DEFAULT_RATE;
};

const trafficShareOf = ({ trafficShare }: InstanceView) => trafficShare;

const pickWeighted = <View>(
  views: readonly View[],
  weightOf: (view: View) => number,
  random: () => number,
): View => {
  const weights = views.map(weightOf);
  let remaining = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining < 0) return views[index]!;
  }
  return views.at(-1)!;
};

/** Picks at random; an instance with reduced traffic passes part of its picks to the others. */
const pickRandom = <View extends InstanceView>(
  views: readonly View[],
  random: () => number,
): View | undefined => {
  const view = views[Math.floor(random() * views.length)];
  if (view === undefined || view.trafficShare >= 1 || random() < view.trafficShare) return view;
  const others = views.filter((other) => other !== view);
  return others.length === 0 ? view : pickWeighted(others, trafficShareOf, random);
};

/** Expected wait at an instance; without a measured rate, it uses the median rate of `all`. */
const expectedWaitMs = ({ load, serviceRate }: InstanceView, all: readonly InstanceView[]) => (
  ((load + 1) * MS_PER_SECOND) / (serviceRate > 0 ? serviceRate : medianRate(all))
);

const nearestInstances = <View extends InstanceView>(views: readonly View[]): readonly View[] => {
  let nearest = Infinity;
  for (const { distance } of views) nearest = Math.min(nearest, distance);
  return views.filter(({ distance }) => distance === nearest);
};

/** Power of two choices: the shorter expected wait of two random candidates. */
const pickBetterOfTwo = <View extends InstanceView>(
  candidates: readonly View[],
  all: readonly View[],
  random: () => number,
): View | undefined => {
  const first = pickRandom(candidates, random);
  const second = pickRandom(candidates, random);
  if (first === undefined || second === undefined || first === second) return first ?? second;
  // One that refuses at once looks idle, but it takes several attempts until it accepts one.
  const waitOf = (view: View) => expectedWaitMs(view, all) / (view.acceptance ?? 1);
  return waitOf(second) < waitOf(first) ? second : first;
};

/** Returns the instances of the preferred domain; empty without a preference for another one. */
const preferredInstances = <View extends InstanceView>(
  views: readonly View[],
  preference: DomainPreference | undefined,
): readonly View[] => (
  preference?.domain === undefined
    ? []
    : views.filter(({ failureDomain }) => failureDomain === preference.domain)
);

/** Instances of the own domain and of those of which nothing is known, unless none is left. */
const undecidedInstances = <View extends InstanceView>(
  views: readonly View[],
  { overflowTo }: DomainPreference,
): readonly View[] => {
  const undecided = views.filter(({ distance, failureDomain }) => (
    distance === 0 || failureDomain === undefined || overflowTo(failureDomain) === undefined
  ));
  return undecided.length > 0 ? undecided : views;
};

/** Instances of the domains that have room; random, so that a part of the requests leaves. */
const instancesWithRoom = <View extends InstanceView>(
  views: readonly View[],
  preference: DomainPreference | undefined,
  random: () => number,
): readonly View[] => {
  if (preference === undefined) return views;
  const chance = random();
  return views.filter(({ failureDomain }) => (
    failureDomain === undefined || (preference.overflowTo(failureDomain)?.room ?? 1) > chance
  ));
};

const crossingCostMs = (
  { failureDomain }: InstanceView,
  preference: DomainPreference | undefined,
) => {
  const terms = failureDomain === undefined ? undefined : preference?.overflowTo(failureDomain);
  return terms?.costMs ?? CROSS_DOMAIN_COST_MS;
};

/**
 * Chooses an instance by the power of two choices: the one with the shorter expected wait of two
 * random instances in the nearest failure domain, unless the same choice among farther instances is
 * less busy by a margin. While queues are long, it chooses among all instances at random, weighted
 * by service rate over load. When all instances are ejected, ejection is ignored. A preference for
 * a failure domain goes before all that, and bounds what may go to domains with known loads.
 *
 * @param views The eligible instances.
 * @param options Random source.
 * @returns The chosen instance with the reason, or `undefined` when `views` is empty.
 *
 * @example
 * const choice = chooseInstance(views, { random: Math.random });
 */
export const chooseInstance = <View extends InstanceView>(
  views: readonly View[],
  options: ChooseInstanceOptions,
): InstanceChoice<View> | undefined => {
  const { random, preference } = options;
  const notEjected = views.some(({ ejected }) => ejected)
    ? views.filter(({ ejected }) => !ejected)
    : views;
  const eligible = notEjected.length > 0 ? notEjected : views;
  if (eligible.length === 0) return undefined;
  const preferred = pickBetterOfTwo(preferredInstances(eligible, preference), eligible, random);
  if (preferred !== undefined) {
    return { view: preferred, reason: 'the share of requests for another failure domain' };
  }
  const near = pickBetterOfTwo(nearestInstances(eligible), eligible, random)!;
  if (near.load > near.slots * LONG_QUEUE_LOAD_PER_SLOT) {
    const candidates = preference === undefined
      ? eligible
      : undecidedInstances(eligible, preference);
    const view = pickWeighted(
      candidates,
      (one) => one.trafficShare / expectedWaitMs(one, eligible),
      random,
    );
    return { view, reason: 'weighted by service rate because the queues are long' };
  }
  if (near.load >= near.slots * MIN_SPILLOVER_UTILISATION) {
    const farther = instancesWithRoom(
      eligible.filter(({ distance }) => distance > near.distance),
      preference,
      random,
    );
    const far = pickBetterOfTwo(farther, eligible, random);
    const nearWaitMs = expectedWaitMs(near, eligible);
    const farWaitMs = far === undefined
      ? Infinity
      : expectedWaitMs(far, eligible) * SPILLOVER_RATIO + crossingCostMs(far, preference);
    if (far !== undefined && farWaitMs < nearWaitMs) {
      return { view: far, reason: 'shorter expected wait than in the nearest failure domain' };
    }
  }
  const reason = notEjected.length > 0
    ? 'shorter expected wait of two random instances'
    : 'all instances are ejected';
  return { view: near, reason };
};
