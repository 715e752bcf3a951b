import type { Clock } from '../clock/mod.ts';

/** Who sent a request: an instance within a run, a caller, or not known. */
export type RequestOrigin = 'call' | 'caller' | 'unsure';

/** A request that arrives at the caller listener. */
export interface ArrivingRequest {
  /** Identity of the connection; evidence about it is dropped with the object. */
  readonly connection: object;
  readonly remoteAddress?: string;
  /** Name of the route. */
  readonly route: string;
  /** Monotonic time in ms by which the sender wants a response. */
  readonly deadlineAt: number;
}

/** Tells the nested calls of this host's instance from the requests of callers. */
export interface CallDetector {
  /**
   * Records that the instance starts a request.
   *
   * @param deadlineAt Monotonic time in ms at which the run ends at the latest.
   * @returns Ends the run. Without a complete response the instance may go on until the deadline.
   */
  readonly startRun: (deadlineAt: number) => (isComplete: boolean) => void;
  /** Classifies a request and learns from it; to be called once for each request. */
  readonly classify: (request: ArrivingRequest) => RequestOrigin;
  /** Returns whether a connection is known to carry nested calls alone. */
  readonly isCallConnection: (connection: object) => boolean;
  /**
   * Returns whether a request that was classified as a call is proven to come from a run: its
   * connection has carried calls alone, no caller was seen on its route lately, and a run whose
   * response is awaited covers its deadline.
   */
  readonly isProven: (request: ArrivingRequest) => boolean;
}

/** Options of a call detector. */
export interface CallDetectorOptions {
  readonly clock: Clock;
  /** Called when a route is first known, or no longer believed, to be used by instances alone. */
  readonly onRouteChange?: (route: string, isCallRoute: boolean) => void;
}

interface Evidence {
  /** Sum of -ln p of the observations that fit a nested call. */
  sum: number;
  addedAt: number;
}

interface ConnectionEvidence extends Evidence {
  isCaller: boolean;
  /** Whether it carried a request that no known run can have made. */
  hasContradiction: boolean;
}

interface Run {
  readonly deadlineAt: number;
  isAwaited: boolean;
}

interface RouteEvidence extends Evidence {
  /** Requests that callers certainly sent; halved every `SIGHTING_HALF_LIFE_MS`. */
  callerSightings: number;
  sightingsAt: number;
  isCallRoute: boolean;
}

interface AddressEvidence {
  calls: number;
  callers: number;
}

/** Time in ms by which transit and a busy event loop delay the arrival of a call. */
const MAX_TRANSIT_MS = 250;
/** A restarted node does not know the runs of its instance; most deadlines are shorter. */
const UNKNOWN_RUNS_MS = 3000;
/** Idle times of a busy instance last some tens of ms. */
const SAMPLE_INTERVAL_MS = 25;
/** 6.4 s, which contains calm and busy times of a service. */
const SAMPLE_COUNT = 256;
/** 1.6 s: at the begin of a load peak, the earlier calm must not count as evidence. */
const RECENT_SAMPLE_COUNT = 64;
/** Requests that a caller sends together see the same runs and are no independent evidence. */
const EVIDENCE_INTERVAL_MS = 50;
/** At least four observations are needed, however idle the instance was before them. */
const MAX_SURPRISE = 1.5;
/** A caller's request exceeds the sum with a probability of at most exp(-5), below 1 %. */
const CALL_THRESHOLD = 5;
/** The same with at most exp(-9), about 1 in 8000, since what is proven is accepted late. */
const PROOF_THRESHOLD = 9;
/** Taken from a trusted connection for a request that no known run can have made. */
const CONTRADICTION_COST = 6;
/** Bounds what one kind of evidence can add, so that new evidence can outweigh it. */
const MAX_EVIDENCE = 12;
/** A route known from callers needs exp(4) times as much evidence from its connection. */
const MAX_SIGHTING_PENALTY = 4;
const SIGHTING_HALF_LIFE_MS = 60_000;
/** Sightings that are left when a route is believed to be used by instances alone again. */
const MIN_SIGHTINGS = 0.5;
const ADDRESS_EVIDENCE = 3;
const MIN_ADDRESS_CALLS = 16;
/** Above the routes of a contract and the addresses on one host. */
const MAX_NAMES = 1024;

/**
 * Creates a detector without evidence. An instance calls only within a run, and a call ends with
 * the run at the latest. A request that no run can have made is a caller's, and so is all else on
 * its connection. A request that fits is evidence in proportion to how improbable it would be for
 * a caller, who does not know of the runs. Without enough evidence, the origin is `unsure`.
 *
 * @param options Clock and a callback for log lines.
 * @returns The detector.
 *
 * @example
 * const endRun = detector.startRun(request.deadlineAt);
 * const isNestedCall = detector.classify({ connection, route, deadlineAt }) === 'call';
 */
export const createCallDetector = (options: CallDetectorOptions): CallDetector => {
  const { clock } = options;
  const learnsFrom = clock.now() + UNKNOWN_RUNS_MS;
  /** Deadlines of the runs in progress; one instance has few slots. */
  const runs = new Set<Run>();
  const connections = new WeakMap<object, ConnectionEvidence>();
  const routes = new Map<string, RouteEvidence>();
  const addresses = new Map<string, AddressEvidence>();
  /** Remaining times in ms of the longest run at regular intervals, as a ring. */
  const samples = new Float64Array(SAMPLE_COUNT);
  let sampleCount = 0;
  let nextSampleAt = clock.now();
  let latestDeadlineAt = -Infinity;

  /** Takes the samples that were due since the last change of the runs. */
  const takeSamples = (now: number) => {
    const missed = Math.floor((now - nextSampleAt) / SAMPLE_INTERVAL_MS) - SAMPLE_COUNT;
    if (missed > 0) nextSampleAt += missed * SAMPLE_INTERVAL_MS;
    for (; nextSampleAt <= now; nextSampleAt += SAMPLE_INTERVAL_MS) {
      samples[sampleCount % SAMPLE_COUNT] = latestDeadlineAt - nextSampleAt;
      sampleCount += 1;
    }
  };

  const updateLatest = () => {
    latestDeadlineAt = -Infinity;
    for (const { deadlineAt } of runs) latestDeadlineAt = Math.max(latestDeadlineAt, deadlineAt);
  };

  const isPossible = (longestMs: number, remainingMs: number) => (
    longestMs > -MAX_TRANSIT_MS && remainingMs <= longestMs + MAX_TRANSIT_MS
  );

  /** Fraction of the latest samples in which a run could have made such a request. */
  const fractionPossible = (remainingMs: number, count: number) => {
    const available = Math.min(count, sampleCount);
    let possible = 0;
    for (let age = 1; age <= available; age += 1) {
      const longestMs = samples[(sampleCount - age) % SAMPLE_COUNT]!;
      if (isPossible(longestMs, remainingMs)) possible += 1;
    }
    // The present state, in which the request is possible, counts as a sample.
    return (possible + 1) / (available + 1);
  };

  const surpriseOf = (remainingMs: number) => Math.min(MAX_SURPRISE, -Math.log(Math.max(
    fractionPossible(remainingMs, RECENT_SAMPLE_COUNT),
    fractionPossible(remainingMs, SAMPLE_COUNT),
  )));

  const routeOf = (name: string): RouteEvidence => {
    const known = routes.get(name);
    if (known !== undefined) return known;
    if (routes.size >= MAX_NAMES) routes.clear();
    const created = {
      sum: 0, addedAt: -Infinity, callerSightings: 0, sightingsAt: clock.now(), isCallRoute: false,
    };
    routes.set(name, created);
    return created;
  };

  const addressOf = (name: string): AddressEvidence => {
    const known = addresses.get(name);
    if (known !== undefined) return known;
    if (addresses.size >= MAX_NAMES) addresses.clear();
    const created = { calls: 0, callers: 0 };
    addresses.set(name, created);
    return created;
  };

  const decaySightings = (route: RouteEvidence, now: number) => {
    const factor = 2 ** ((route.sightingsAt - now) / SIGHTING_HALF_LIFE_MS);
    Object.assign(route, {
      callerSightings: route.callerSightings * factor, sightingsAt: now,
    });
  };

  const add = (evidence: Evidence, surprise: number, now: number) => {
    if (now - evidence.addedAt < EVIDENCE_INTERVAL_MS) return;
    const sum = Math.min(MAX_EVIDENCE, evidence.sum + surprise);
    Object.assign(evidence, { sum, addedAt: now });
  };

  const setCallRoute = (name: string, route: RouteEvidence, isCallRoute: boolean) => {
    if (route.isCallRoute === isCallRoute) return;
    Object.assign(route, { isCallRoute });
    options.onRouteChange?.(name, isCallRoute);
  };

  const recordCaller = (name: string, route: RouteEvidence, address: AddressEvidence) => {
    Object.assign(route, { sum: 0, callerSightings: route.callerSightings + 1 });
    Object.assign(address, { callers: address.callers + 1 });
    setCallRoute(name, route, false);
  };

  const scoreOf = (
    connection: ConnectionEvidence,
    route: RouteEvidence,
    { calls, callers }: AddressEvidence,
  ) => {
    const isUsedByCallers = route.callerSightings > MIN_SIGHTINGS;
    // The same observations are in both sums, so they are not added.
    const sum = isUsedByCallers
      ? connection.sum - Math.min(MAX_SIGHTING_PENALTY, Math.log(1 + route.callerSightings))
      : Math.max(connection.sum, route.sum);
    // Never a rule: on hosts where callers share the address, it says nothing.
    const isCallAddress = calls >= MIN_ADDRESS_CALLS && callers === 0;
    return sum + (isCallAddress ? ADDRESS_EVIDENCE : 0);
  };

  const isCallConnection = (connection: object) => {
    const evidence = connections.get(connection);
    return evidence !== undefined && !evidence.hasContradiction && evidence.sum >= PROOF_THRESHOLD;
  };

  return {
    startRun: (deadlineAt) => {
      takeSamples(clock.now());
      const run = { deadlineAt, isAwaited: true };
      const end = () => {
        takeSamples(clock.now());
        if (runs.delete(run)) updateLatest();
      };
      runs.add(run);
      updateLatest();
      return (isComplete) => {
        run.isAwaited = false;
        if (isComplete) end();
        else clock.schedule(Math.max(0, deadlineAt - clock.now()), end);
      };
    },
    classify: ({
      connection: socket, remoteAddress = '', route: name, deadlineAt,
    }) => {
      const now = clock.now();
      if (now < learnsFrom) return 'unsure';
      takeSamples(now);
      const connection = connections.get(socket)
        ?? {
          isCaller: false, hasContradiction: false, sum: 0, addedAt: -Infinity,
        };
      connections.set(socket, connection);
      const route = routeOf(name);
      const address = addressOf(remoteAddress);
      decaySightings(route, now);
      const remainingMs = deadlineAt - now;
      const isContradiction = !isPossible(latestDeadlineAt - now, remainingMs);
      if (isContradiction) connection.hasContradiction = true;
      // A stall of this process delays calls beyond the end of their runs.
      if (isContradiction && connection.sum >= CALL_THRESHOLD) {
        connection.sum -= CONTRADICTION_COST;
        return 'unsure';
      }
      if (connection.isCaller || isContradiction) {
        connection.isCaller = true;
        recordCaller(name, route, address);
        return 'caller';
      }
      const surprise = surpriseOf(remainingMs);
      add(connection, surprise, now);
      add(route, surprise, now);
      if (scoreOf(connection, route, address) < CALL_THRESHOLD) return 'unsure';
      address.calls += 1;
      if (route.callerSightings <= MIN_SIGHTINGS) setCallRoute(name, route, true);
      return 'call';
    },
    isCallConnection,
    isProven: ({ connection, route, deadlineAt }) => {
      // Evidence about a route or an address also fits a caller's request on a new connection.
      if (!isCallConnection(connection)) return false;
      // A caller that sends its requests together meets the runs of its own ones.
      if (routeOf(route).callerSightings > MIN_SIGHTINGS) return false;
      const now = clock.now();
      for (const run of runs) {
        const covers = now < run.deadlineAt && deadlineAt <= run.deadlineAt + MAX_TRANSIT_MS;
        if (run.isAwaited && covers) return true;
      }
      return false;
    },
  };
};
