import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { ExchangeEnd, FailureCause, UpstreamClient } from '../forward/mod.ts';
import type { GrantRequest, UpstreamGrants } from '../lease/mod.ts';
import type { RecordEvent } from './history.ts';

/** A request as the upstream receives it. */
export interface ReceivedRequest {
  readonly request: string;
  readonly attempt: string;
  readonly submission: string;
  readonly key: string;
  readonly requestClass: RequestClass;
  readonly token: number | undefined;
  readonly slot: number | undefined;
}

/** An answer; a broken one ends after its first half. */
interface UpstreamAnswer {
  readonly status: number;
  readonly body: string;
  readonly broken: boolean;
}

/** The upstream instance of one host, which records what it executes. */
export interface FakeUpstream {
  /** Returns a function that closes the connection and so cancels the request. */
  readonly receive: (
    request: ReceivedRequest,
    answer: (given: UpstreamAnswer) => void,
  ) => () => void;
  readonly grants: UpstreamGrants;
  /** Ends all executions without an answer. */
  readonly kill: () => void;
}

/** Options of a fake upstream. */
export interface FakeUpstreamOptions {
  /** The clock of the upstream process; a paused one suspends executions. */
  readonly clock: Clock;
  readonly node: string;
  readonly record: RecordEvent;
  readonly checksGrants: boolean;
  /** Random numbers in [0, 1). */
  readonly random: () => number;
}

const START_DELAY_MS = 0.3;
const GRANT_DELAY_MS = 1;
const STRAGGLER_SHARE = 0.05;
const BROKEN_SHARE = 0.02;
const STATUS_OK = 200;
const STATUS_FENCED = 409;

/** The body that the answer to a request must have. */
export const bodyFor = (submission: string, key: string) => (
  `${submission} at ${key} `.padEnd(64, '.')
);

/** Creates an upstream instance in memory. */
export const createFakeUpstream = (options: FakeUpstreamOptions): FakeUpstream => {
  const {
    clock, node, record, checksGrants, random,
  } = options;
  /** Fencing tokens by slot number and by hot key. */
  const tokens = new Map<number | string, number>();
  const open = new Set<() => void>();
  let killed = false;

  const durationMs = () => (random() < STRAGGLER_SHARE ? 300 + 1200 * random() : 2 + 60 * random());

  const receive: FakeUpstream['receive'] = (request, answer) => {
    const { key, attempt } = request;
    let running = false;
    let ended = false;
    let cancelStep = () => undefined as void;
    const close = () => {
      if (ended) return;
      ended = true;
      cancelStep();
      open.delete(close);
      if (running) {
        record('execution end', {
          node, key, attempt, completed: false,
        });
      }
    };
    const finish = () => {
      ended = true;
      open.delete(close);
      record('execution end', {
        node, key, attempt, completed: true,
      });
      const body = bodyFor(request.submission, key);
      answer({ status: STATUS_OK, body, broken: random() < BROKEN_SHARE });
    };
    const start = () => {
      const isGranted = tokens.get(request.slot ?? -1) === request.token
        || tokens.get(key) === request.token;
      const isFenced = checksGrants && !isGranted;
      if (isFenced) {
        ended = true;
        open.delete(close);
        answer({ status: STATUS_FENCED, body: '', broken: false });
        return;
      }
      running = true;
      const { slot, ...described } = request;
      record('execution start', { node, ...described });
      cancelStep = clock.schedule(durationMs(), finish);
    };
    if (!killed) {
      open.add(close);
      cancelStep = clock.schedule(START_DELAY_MS, start);
    }
    return close;
  };

  const setGrant = async (request: GrantRequest, revoked: boolean) => {
    await clock.sleep(GRANT_DELAY_MS);
    const { token, slots } = request;
    const units = [...slots, ...request.hotKeys];
    if (units.some((unit) => (tokens.get(unit) ?? 0) > token)) {
      return err(new StepError('the token is lower than a known one', { step: 'upstream.grant' }));
    }
    for (const unit of units) {
      if (revoked) tokens.delete(unit);
      else tokens.set(unit, token);
    }
    record('grant', {
      node, token, slots, revoked,
    });
    return ok(undefined);
  };

  return {
    receive,
    grants: {
      grant: (request) => setGrant(request, false),
      revoke: (request) => setGrant(request, true),
    },
    kill: () => {
      killed = true;
      for (const close of [...open]) close();
    },
  };
};

/** Names of the headers by which a run follows a request to the upstream. */
export const TRACE_HEADERS = {
  attempt: 'x-attempt', submission: 'x-submission', key: 'x-key',
} as const;

const valueOf = (headers: readonly string[], name: string): string => (
  headers[headers.indexOf(name) + 1] ?? ''
);

const CONNECT_SHARE = 0.2;
const CONNECT_DELAY_MS = 5;
const REPLY_DELAY_MS = 0.2;

/** Options of a client in memory. */
export interface MemoryClientOptions {
  /** The clock of the node process. */
  readonly clock: Clock;
  readonly random: () => number;
}

/** Creates the path of a node to its upstream, with the ends that an HTTP exchange may have. */
export const createMemoryClient = (
  upstream: FakeUpstream,
  { clock, random }: MemoryClientOptions,
): UpstreamClient => ({
  address: 'memory',
  stop: async () => undefined,
  send: (request, sink) => new Promise((resolve) => {
    let closeUpstream: (() => void) | undefined;
    let settled = false;
    let begun = false;
    const cancels: (() => void)[] = [];
    const settle = (end: ExchangeEnd) => {
      if (settled) return;
      settled = true;
      for (const cancel of cancels) cancel();
      resolve(end);
    };
    const fail = (cause: FailureCause, error: Error) => {
      if (settled) return;
      settle({
        kind: 'failed', cause, error, written: closeUpstream !== undefined, begun,
      });
      closeUpstream?.();
    };
    const onAbort = () => fail('cancelled', new Error('the request was cancelled'));
    const onLapse = () => fail('lapsed', new Error('the lease of the key lapsed'));
    const deliver = ({ status, body, broken }: UpstreamAnswer) => {
      if (settled) return;
      const use = sink.start(status, []);
      if (use === 'deliver') {
        begun = true;
        const half = Math.floor(body.length / 2);
        sink.write(Buffer.from(body.slice(0, half)));
        if (broken) {
          fail('connection', new Error('the connection was closed'));
          return;
        }
        sink.write(Buffer.from(body.slice(half)));
      }
      settle({ kind: 'complete', status });
      if (use === 'deliver') sink.end();
    };
    const write = () => {
      if (settled) return;
      const refusal = request.beforeWrite?.();
      if (refusal !== undefined) {
        fail('denied', refusal);
        return;
      }
      closeUpstream = upstream.receive({
        request: request.requestId,
        attempt: valueOf(request.headers, TRACE_HEADERS.attempt),
        submission: valueOf(request.headers, TRACE_HEADERS.submission),
        key: valueOf(request.headers, TRACE_HEADERS.key),
        requestClass: request.requestClass,
        token: request.token,
        slot: request.slot,
      }, (answer) => clock.schedule(REPLY_DELAY_MS, () => deliver(answer)));
    };
    if (request.signal.aborted) onAbort();
    if (request.lapse?.aborted) onLapse();
    request.signal.addEventListener('abort', onAbort);
    request.lapse?.addEventListener('abort', onLapse);
    cancels.push(
      clock.schedule(Math.max(0, request.deadlineAt - clock.now()), () => {
        fail('deadline', new Error('no answer within the deadline'));
      }),
      () => request.signal.removeEventListener('abort', onAbort),
      () => request.lapse?.removeEventListener('abort', onLapse),
    );
    if (random() < CONNECT_SHARE) clock.schedule(CONNECT_DELAY_MS, write);
    else write();
  }),
});
