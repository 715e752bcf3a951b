/** What is known of an instance when a request is to be sent. */
export interface InstanceView {
  readonly instance: string;
  /** 0: own failure domain, 1: own region, 2: another region. */
  readonly distance: number;
  /** Estimated requests in flight and queued at the instance. */
  readonly load: number;
  /** Requests that the instance runs at a time. */
  readonly slots: number;
  /** Measured requests per second that the instance can serve; 0 when unknown. */
  readonly serviceRate: number;
  /** Fraction of its usual traffic that the instance gets, for slow start and after sheds. */
  readonly acceptance: number;
  readonly ejected: boolean;
}

/** Options of a choice. */
export interface ChooseOptions {
  /** Uniform numbers from 0 to less than 1. */
  readonly random: () => number;
}

/** A chosen instance and why it was chosen. */
export interface InstanceChoice<View extends InstanceView> {
  readonly view: View;
  readonly reason: string;
}

/** A farther instance is chosen when the nearer one's expected wait is this many times its own. */
const FAR_MARGIN = 1.5;
/** Below this use of its slots, an instance answers without a wait, so distance alone counts. */
const MIN_NEAR_UTILISATION = 0.85;
/** Round trip to another failure domain. */
const FAR_COST_MS = 1;
/**
 * Requests per slot above which queues are near their bounds. Loads are then alike, and noise in
 * the measured rates would send most requests to one instance after the other, where customers get
 * unequal parts of their shares; instances are then chosen in proportion to rate over load.
 */
const DEEP_QUEUE_PER_SLOT = 4;
const MS_PER_SECOND = 1000;
/** Rate assumed while no instance has a measured one; only ratios matter then. */
const NOMINAL_RATE = 100;

const typicalRate = (views: readonly InstanceView[]) => {
  const known = views.map(({ serviceRate }) => serviceRate).filter((rate) => rate > 0);
  known.sort((left, right) => left - right);
  return known[Math.floor(known.length / 2)] ?? NOMINAL_RATE;
};

const pickOne = <View extends InstanceView>(
  views: readonly View[],
  random: () => number,
): View | undefined => {
  const view = views[Math.floor(random() * views.length)];
  if (view === undefined || view.acceptance >= 1 || random() < view.acceptance) return view;
  const others = views.filter((other) => other !== view && other.acceptance >= 1);
  return others[Math.floor(random() * others.length)] ?? view;
};

/** Expected wait at an instance; `all` gives the rate of one that has none yet. */
const waitMs = ({ load, serviceRate }: InstanceView, all: readonly InstanceView[]) => (
  ((load + 1) * MS_PER_SECOND) / (serviceRate > 0 ? serviceRate : typicalRate(all))
);

const nearestOf = <View extends InstanceView>(views: readonly View[]): readonly View[] => {
  let nearest = Infinity;
  for (const { distance } of views) nearest = Math.min(nearest, distance);
  return views.filter(({ distance }) => distance === nearest);
};

/** The better of two random ones. */
const pickBetter = <View extends InstanceView>(
  candidates: readonly View[],
  all: readonly View[],
  random: () => number,
): View | undefined => {
  const first = pickOne(candidates, random);
  const second = pickOne(candidates, random);
  if (first === undefined || second === undefined || first === second) return first ?? second;
  return waitMs(second, all) < waitMs(first, all) ? second : first;
};

const pickByWeight = <View>(
  views: readonly View[],
  weightOf: (view: View) => number,
  random: () => number,
): View => {
  const weights = views.map(weightOf);
  let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return views[index]!;
  }
  return views.at(-1)!;
};

/**
 * Chooses an instance: the better of two random ones in the nearest failure domain, unless the
 * better of two random ones farther away is less busy by a margin. With long queues, it chooses any
 * in proportion to its rate over its load. When all are ejected, ejection is ignored.
 *
 * @param views The instances that may be chosen.
 * @param options Random source.
 * @returns The choice, or `undefined` without instances.
 *
 * @example
 * const choice = chooseInstance(views, { random: Math.random });
 */
export const chooseInstance = <View extends InstanceView>(
  views: readonly View[],
  options: ChooseOptions,
): InstanceChoice<View> | undefined => {
  const { random } = options;
  const sound = views.some(({ ejected }) => ejected)
    ? views.filter(({ ejected }) => !ejected)
    : views;
  const usable = sound.length > 0 ? sound : views;
  if (usable.length === 0) return undefined;
  const near = pickBetter(nearestOf(usable), usable, random)!;
  if (near.load > near.slots * DEEP_QUEUE_PER_SLOT) {
    const view = pickByWeight(usable, (one) => one.acceptance / waitMs(one, usable), random);
    return { view, reason: 'in proportion to rate, as the queues are long' };
  }
  if (near.load >= near.slots * MIN_NEAR_UTILISATION) {
    const farther = usable.filter(({ distance }) => distance > near.distance);
    const far = pickBetter(farther, usable, random);
    const nearMs = waitMs(near, usable);
    if (far !== undefined && waitMs(far, usable) * FAR_MARGIN + FAR_COST_MS < nearMs) {
      return { view: far, reason: 'less busy than the nearest failure domain' };
    }
  }
  const reason = sound.length > 0 ? 'less busy of two' : 'all instances are ejected';
  return { view: near, reason };
};
