import { err, ok } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import type { RequestClass } from '../contract/mod.ts';
import { StepError } from '../errors/mod.ts';
import type { ExchangeResult, FailureCause, UpstreamClient } from '../forward/mod.ts';
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

/** A response; a truncated one ends after the first half of its body. */
interface UpstreamResponse {
  readonly status: number;
  readonly body: string;
  readonly truncated: boolean;
}

/** An in-memory upstream instance of one host that records its executions. */
export interface FakeUpstream {
  /** Returns a function that closes the connection, which cancels the request. */
  readonly receive: (
    request: ReceivedRequest,
    answer: (given: UpstreamResponse) => void,
  ) => () => void;
  readonly grants: UpstreamGrants;
  /** Ends all executions without a response. */
  readonly kill: () => void;
}

/** Options of a fake upstream. */
export interface FakeUpstreamOptions {
  /** Clock of the upstream process; pausing it suspends executions. */
  readonly clock: Clock;
  readonly node: string;
  readonly record: RecordEvent;
  readonly checksGrants: boolean;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

const START_DELAY_MS = 0.3;
const GRANT_DELAY_MS = 1;
const STRAGGLER_RATIO = 0.05;
const TRUNCATED_RATIO = 0.02;
const STATUS_OK = 200;
const STATUS_FENCED = 409;

/** Returns the body that the complete response to a request has. */
export const createExpectedBody = (submission: string, key: string) => (
  `${submission} at ${key} `.padEnd(64, '.')
);

/** Creates an in-memory upstream instance. */
export const createFakeUpstream = (options: FakeUpstreamOptions): FakeUpstream => {
  const {
    clock, node, record, checksGrants, random,
  } = options;
  /** Fencing tokens by slot number and by hot key. */
  const tokens = new Map<number | string, number>();
  const openRequests = new Set<() => void>();
  let killed = false;

  const durationMs = () => (random() < STRAGGLER_RATIO ? 300 + 1200 * random() : 2 + 60 * random());

  const receive: FakeUpstream['receive'] = (request, respond) => {
    const { key, attempt } = request;
    let running = false;
    let ended = false;
    let cancelTimer = () => undefined as void;
    const close = () => {
      if (ended) return;
      ended = true;
      cancelTimer();
      openRequests.delete(close);
      if (running) {
        record('execution end', {
          node, key, attempt, completed: false,
        });
      }
    };
    const finish = () => {
      ended = true;
      openRequests.delete(close);
      record('execution end', {
        node, key, attempt, completed: true,
      });
      const body = createExpectedBody(request.submission, key);
      respond({ status: STATUS_OK, body, truncated: random() < TRUNCATED_RATIO });
    };
    const start = () => {
      const isGranted = tokens.get(request.slot ?? -1) === request.token
        || tokens.get(key) === request.token;
      const isFenced = checksGrants && !isGranted;
      if (isFenced) {
        ended = true;
        openRequests.delete(close);
        respond({ status: STATUS_FENCED, body: '', truncated: false });
        return;
      }
      running = true;
      const { slot, ...described } = request;
      record('execution start', { node, ...described });
      cancelTimer = clock.schedule(durationMs(), finish);
    };
    if (!killed) {
      openRequests.add(close);
      cancelTimer = clock.schedule(START_DELAY_MS, start);
    }
    return close;
  };

  const setGrant = async (request: GrantRequest, revoked: boolean) => {
    await clock.sleep(GRANT_DELAY_MS);
    const { token, slots } = request;
    const slotsAndHotKeys = [...slots, ...request.hotKeys];
    if (slotsAndHotKeys.some((unit) => (tokens.get(unit) ?? 0) > token)) {
      return err(new StepError('the token is lower than a prior one', { step: 'upstream.grant' }));
    }
    for (const unit of slotsAndHotKeys) {
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
      for (const close of [...openRequests]) close();
    },
  };
};

/** Headers that carry the identity of a request to the fake upstream. */
export const TRACE_HEADERS = {
  attempt: 'x-attempt', submission: 'x-submission', key: 'x-key',
} as const;

const headerValue = (headers: readonly string[], name: string): string => (
  headers[headers.indexOf(name) + 1] ?? ''
);

const NEW_CONNECTION_RATIO = 0.2;
const CONNECT_DELAY_MS = 5;
const REPLY_DELAY_MS = 0.2;

/** Options of an in-memory client of an upstream. */
export interface MemoryUpstreamClientOptions {
  /** Clock of the node process. */
  readonly clock: Clock;
  readonly random: () => number;
}

/** Creates a node's in-memory client of its upstream, with the outcomes of an HTTP exchange. */
export const createMemoryUpstreamClient = (
  upstream: FakeUpstream,
  { clock, random }: MemoryUpstreamClientOptions,
): UpstreamClient => ({
  address: 'memory',
  stop: async () => undefined,
  send: (request, sink) => new Promise((resolve) => {
    let closeUpstream: (() => void) | undefined;
    let settled = false;
    let begun = false;
    const cancels: (() => void)[] = [];
    const settle = (end: ExchangeResult) => {
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
    const onLeaseLapse = () => fail('lapsed', new Error('the lease of the key lapsed'));
    const deliver = ({ status, body, truncated }: UpstreamResponse) => {
      if (settled) return;
      const use = sink.start(status, []);
      if (use === 'deliver') {
        begun = true;
        const half = Math.floor(body.length / 2);
        sink.write(Buffer.from(body.slice(0, half)));
        if (truncated) {
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
        attempt: headerValue(request.headers, TRACE_HEADERS.attempt),
        submission: headerValue(request.headers, TRACE_HEADERS.submission),
        key: headerValue(request.headers, TRACE_HEADERS.key),
        requestClass: request.requestClass,
        token: request.token,
        slot: request.slot,
      }, (answer) => clock.schedule(REPLY_DELAY_MS, () => deliver(answer)));
    };
    if (request.signal.aborted) onAbort();
    if (request.leaseExpiry?.aborted) onLeaseLapse();
    request.signal.addEventListener('abort', onAbort);
    request.leaseExpiry?.addEventListener('abort', onLeaseLapse);
    cancels.push(
      clock.schedule(Math.max(0, request.deadlineAt - clock.now()), () => {
        fail('deadline', new Error('no answer within the deadline'));
      }),
      () => request.signal.removeEventListener('abort', onAbort),
      () => request.leaseExpiry?.removeEventListener('abort', onLeaseLapse),
    );
    if (random() < NEW_CONNECTION_RATIO) clock.schedule(CONNECT_DELAY_MS, write);
    else write();
  }),
});
