import type { Clock } from '../clock/mod.ts';

/** A request that has been read and is to be forwarded. Times are monotonic, in ms. */
export interface DispatchRequest {
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Without a response, a request that holds a slot fails. */
  readonly isNestedCall?: boolean;
  /** Nothing was read from the connection before, so that the request may have waited in it. */
  readonly isFirstOnConnection: boolean;
  /** Another node forwarded the request, so part of its cost has been paid. */
  readonly isFromPeer: boolean;
  readonly deadlineAt: number;
  readonly latencyTargetAt: number;
  /** Returns whether the other end has closed the connection. */
  readonly isGone: () => boolean;
}

/**
 * What to do with a request after its wait. `expired`: it waited too long for a useful response and
 * has not been forwarded.
 */
export type DispatchDecision = 'forward' | 'gone' | 'expired';

/** What the expected wait of a request depends on. */
export type DispatchUrgency = Omit<DispatchRequest, 'isGone' | 'isFirstOnConnection'>;

/** Orders the requests that wait for the event loop of this process. */
export interface DispatchQueue {
  /** Returns whether a request that arrives now is expected to be forwarded in useful time. */
  readonly isTimely: (request: DispatchUrgency) => boolean;
  /** Resolves once the request may be forwarded or has to be dropped, maybe at once. */
  readonly wait: (request: DispatchRequest) => Promise<DispatchDecision>;
}

/** Options of a dispatch queue. */
export interface DispatchQueueOptions {
  readonly clock: Clock;
  /** Runs a task in the next turn of the event loop; `setImmediate` by default. */
  readonly runInNextTurn?: (task: () => void) => void;
}

interface WaitingRequest {
  readonly request: DispatchRequest;
  /** Turn from which on the request may be forwarded. */
  readonly readyInTurn: number;
  readonly expiresAt: number;
  readonly settle: (decision: DispatchDecision) => void;
}

/**
 * Turns between the arrival and the dispatch of a request. After a stall, and on a new connection,
 * a request and the end of its connection are pending at the same time; the end is read one turn
 * after the last bytes.
 */
const MIN_TURNS = 2;
/** The same for a request that has just arrived. */
const MIN_TURNS_IF_FRESH = 1;
/** Longest time since the last turn in which a request on a kept connection has just arrived. */
const MAX_FRESH_MS = 100;
/** Allowed wait of a request that can meet its latency target, as a fraction of the time to it. */
const MAX_WAIT_FRACTION = 0.25;
/**
 * Allowed wait of a nested call, as a fraction of the time to its deadline: the request that makes
 * it holds a slot and fails without it.
 */
const MAX_NESTED_WAIT_FRACTION = 0.5;
/** Allowed wait of a late request, as a fraction of the time to its deadline. */
const MAX_LATE_WAIT_FRACTION = 0.1;

/** Weight of a turn in the moving average of their lengths: about the last ten turns count. */
const TURN_WEIGHT = 0.1;
/** Time in ms without requests after which earlier turns tell nothing about the next ones. */
const MAX_IDLE_MS = 1000;

const isNested = ({ isNestedCall = false }: DispatchUrgency) => isNestedCall;

const allowedWaitMs = (request: DispatchUrgency, now: number) => {
  const { latencyTargetAt, deadlineAt } = request;
  if (request.isNestedCall === true) return (deadlineAt - now) * MAX_NESTED_WAIT_FRACTION;
  return Math.max(
    (latencyTargetAt - now) * MAX_WAIT_FRACTION,
    (deadlineAt - now) * MAX_LATE_WAIT_FRACTION,
  );
};

/** Returns whether a request goes before another one that arrived earlier. */
const overtakes = (one: DispatchUrgency, other: DispatchUrgency, now: number) => {
  if (isNested(one) !== isNested(other)) return isNested(one);
  if (one.isFromPeer !== other.isFromPeer) return one.isFromPeer;
  if (one.priority !== other.priority) return one.priority < other.priority;
  return one.latencyTargetAt > now && other.latencyTargetAt <= now;
};

/**
 * Creates an empty queue. It forwards one request in each turn of the event loop, the most urgent
 * one first, and drops those that have waited too long or whose caller has gone.
 *
 * A turn accepts at most one connection. If a turn forwarded all requests that it has read, its
 * length would grow with the load, and new connections would wait unread for seconds.
 *
 * @param options Clock and scheduler.
 * @returns The queue.
 *
 * @example
 * if (await queue.wait(request) === 'forward') await sender.send(request, maxSends, sink);
 */
export const createDispatchQueue = (options: DispatchQueueOptions): DispatchQueue => {
  const { clock, runInNextTurn = (task) => setImmediate(task) } = options;
  let waiting: WaitingRequest[] = [];
  let turn = 0;
  let isScheduled = false;
  /** Mean time in ms from one turn to the next while requests wait. */
  let turnMs: number | undefined;
  let lastTurnAt: number | undefined;
  let emptyAt = -Infinity;

  const isReady = (entry: WaitingRequest) => turn >= entry.readyInTurn;

  /** Settles the ready requests that `isDropped` selects. */
  const drop = (decision: 'gone' | 'expired', isDropped: (entry: WaitingRequest) => boolean) => {
    const kept: WaitingRequest[] = [];
    for (const entry of waiting) {
      if (isReady(entry) && isDropped(entry)) entry.settle(decision);
      else kept.push(entry);
    }
    waiting = kept;
  };

  const takeMostUrgent = (now: number, isCandidate: (entry: WaitingRequest) => boolean) => {
    let next: WaitingRequest | undefined;
    for (const entry of waiting) {
      if (!isReady(entry) || !isCandidate(entry)) continue;
      if (next === undefined || overtakes(entry.request, next.request, now)) next = entry;
    }
    if (next !== undefined) waiting.splice(waiting.indexOf(next), 1);
    return next;
  };

  const runTurn = (now: number) => {
    drop('gone', ({ request }) => request.isGone());
    // After a stall, the first request that can still meet its target needs no refusal.
    const next = takeMostUrgent(now, ({ expiresAt }) => expiresAt >= now)
      ?? takeMostUrgent(now, ({ request }) => request.latencyTargetAt > now);
    next?.settle('forward');
    drop('expired', ({ expiresAt }) => expiresAt < now);
  };

  const recordTurn = (now: number) => {
    if (lastTurnAt !== undefined) {
      const lastMs = now - lastTurnAt;
      turnMs = turnMs === undefined ? lastMs : turnMs + (lastMs - turnMs) * TURN_WEIGHT;
    }
    lastTurnAt = now;
  };

  const scheduleTurn = () => {
    if (isScheduled) return;
    if (waiting.length === 0) {
      lastTurnAt = undefined;
      emptyAt = clock.now();
      return;
    }
    isScheduled = true;
    runInNextTurn(() => {
      isScheduled = false;
      turn += 1;
      const now = clock.now();
      recordTurn(now);
      runTurn(now);
      scheduleTurn();
    });
  };

  const isTimely: DispatchQueue['isTimely'] = (request) => {
    const now = clock.now();
    // Without others, nothing would tell that turns have become short again.
    if (waiting.length === 0) return true;
    let turns = MIN_TURNS;
    for (const { request: other } of waiting) if (!overtakes(request, other, now)) turns += 1;
    return turns * (turnMs ?? 0) <= allowedWaitMs(request, now);
  };

  return {
    isTimely,
    wait: (request) => new Promise((resolve) => {
      if (!isTimely(request)) {
        resolve('expired');
        return;
      }
      const now = clock.now();
      const isFresh = !request.isFirstOnConnection
        && lastTurnAt !== undefined && now - lastTurnAt < MAX_FRESH_MS;
      if (waiting.length === 0 && now - emptyAt > MAX_IDLE_MS) turnMs = undefined;
      waiting.push({
        request,
        readyInTurn: turn + (isFresh ? MIN_TURNS_IF_FRESH : MIN_TURNS),
        expiresAt: now + allowedWaitMs(request, now),
        settle: resolve,
      });
      scheduleTurn();
    }),
  };
};
