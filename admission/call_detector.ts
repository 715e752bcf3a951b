import type { Clock } from '../clock/mod.ts';
import { followOpenCall } from './_open_calls.ts';
import {
  canCover, createRunHistory, type Run, type RunOrigin,
} from './_run_history.ts';

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
   * @param origin Where the request comes from; by default, another node.
   * @returns Ends the run. Without a complete response the instance may go on until the deadline;
   * after an error, it may leave calls without waiting for them.
   */
  readonly startRun: (
    deadlineAt: number,
    origin?: RunOrigin,
  ) => (isComplete: boolean, isSuccess?: boolean) => void;
  /** Classifies a request and learns from it; to be called once for each request. */
  readonly classify: (request: ArrivingRequest) => RequestOrigin;
  /**
   * Records that a classified request awaits its response. The returned function is to be called
   * when that has been sent, or with `false` when the connection has ended without it.
   */
  readonly trackResponse: (request: ArrivingRequest) => (isSent: boolean) => void;
  /** Returns whether a connection is known to carry nested calls alone. */
  readonly isCallConnection: (connection: object) => boolean;
  /**
   * Returns whether a request that was classified as a call is proven to come from a run: its
   * connection has carried calls alone, no caller was seen on its route lately, no request of
   * either outlived the runs that cover it, and a run whose response is awaited covers its
   * deadline. Runs that this host began are no evidence, since its callers know of them.
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
  /** The observations that a caller who knows the runs of this host would not explain. */
  readonly proof: Evidence;
  isCaller: boolean;
  /** Whether it carried a request that no known run can have made, or that outlived its runs. */
  hasContradiction: boolean;
}

interface RouteEvidence extends Evidence {
  /** Requests that callers certainly sent; halved every `SIGHTING_HALF_LIFE_MS`. */
  callerSightings: number;
  sightingsAt: number;
  /** Monotonic time in ms until which no request on it is proven. */
  unprovenUntil: number;
  isCallRoute: boolean;
}

interface AddressEvidence {
  calls: number;
  callers: number;
}

/** A restarted node does not know the runs of its instance; most deadlines are shorter. */
const UNKNOWN_RUNS_MS = 3000;
/** Requests that a caller sends together see the same runs and are no independent evidence. */
const EVIDENCE_INTERVAL_MS = 50;
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
/** A caller whose requests mostly end before the runs that it follows outlives one seldom. */
const OUTLIVED_MS = 600_000;
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
  const history = createRunHistory(clock);
  const connections = new WeakMap<object, ConnectionEvidence>();
  const routes = new Map<string, RouteEvidence>();
  const addresses = new Map<string, AddressEvidence>();

  const routeOf = (name: string): RouteEvidence => {
    const known = routes.get(name);
    if (known !== undefined) return known;
    if (routes.size >= MAX_NAMES) routes.clear();
    const created = {
      sum: 0,
      addedAt: -Infinity,
      callerSightings: 0,
      sightingsAt: clock.now(),
      unprovenUntil: -Infinity,
      isCallRoute: false,
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

  const add = (evidence: Evidence, surprise: () => number, now: number) => {
    if (now - evidence.addedAt < EVIDENCE_INTERVAL_MS) return;
    const { sum } = evidence;
    Object.assign(evidence, {
      sum: sum >= MAX_EVIDENCE ? sum : Math.min(MAX_EVIDENCE, sum + surprise()), addedAt: now,
    });
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
    return evidence?.hasContradiction === false && evidence.proof.sum >= PROOF_THRESHOLD;
  };

  return {
    startRun: (deadlineAt, origin = 'peer') => {
      const run: Run = { deadlineAt, origin };
      history.start(run);
      return (isComplete, isSuccess = isComplete) => {
        Object.assign(run, { isSuccess, endedAt: clock.now() });
        if (isComplete) history.end(run);
        else clock.schedule(Math.max(0, deadlineAt - clock.now()), () => history.end(run));
      };
    },
    classify: ({
      connection: socket, remoteAddress = '', route: name, deadlineAt,
    }) => {
      const now = clock.now();
      if (now < learnsFrom) return 'unsure';
      const connection = connections.get(socket)
        ?? {
          isCaller: false,
          hasContradiction: false,
          sum: 0,
          addedAt: -Infinity,
          proof: { sum: 0, addedAt: -Infinity },
        };
      connections.set(socket, connection);
      const route = routeOf(name);
      const address = addressOf(remoteAddress);
      decaySightings(route, now);
      const remainingMs = deadlineAt - now;
      const isContradiction = !history.isPossible(remainingMs);
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
      // Most callers send one request on a connection, which proves nothing.
      if (connection.sum > 0) add(connection.proof, () => history.peerSurprise(remainingMs), now);
      let known: number | undefined;
      const surprise = () => {
        known ??= history.surprise(remainingMs);
        return known;
      };
      add(connection, surprise, now);
      add(route, surprise, now);
      if (scoreOf(connection, route, address) < CALL_THRESHOLD) return 'unsure';
      address.calls += 1;
      if (route.callerSightings <= MIN_SIGHTINGS) setCallRoute(name, route, true);
      return 'call';
    },
    trackResponse: ({ connection, route, deadlineAt }) => {
      if (clock.now() < learnsFrom) return () => undefined;
      const hasOutlived = followOpenCall(clock, deadlineAt, history.current());
      return (isSent) => {
        if (!hasOutlived(isSent)) return;
        const evidence = connections.get(connection);
        if (evidence !== undefined) evidence.hasContradiction = true;
        routeOf(route).unprovenUntil = clock.now() + OUTLIVED_MS;
      };
    },
    isCallConnection,
    isProven: ({ connection, route, deadlineAt }) => {
      // Evidence about a route or an address also fits a caller's request on a new connection.
      if (!isCallConnection(connection)) return false;
      // A caller that sends its requests together meets the runs of its own ones.
      const { callerSightings, unprovenUntil } = routeOf(route);
      const now = clock.now();
      if (callerSightings > MIN_SIGHTINGS || now < unprovenUntil) return false;
      for (const run of history.current()) {
        const isAwaited = run.isSuccess === undefined && now < run.deadlineAt;
        if (isAwaited && canCover(run.deadlineAt - now, deadlineAt - now)) return true;
      }
      return false;
    },
  };
};
