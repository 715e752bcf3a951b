import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { AnswerSink } from '../forward/mod.ts';
import { silentLogger } from '../telemetry/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import {
  type AttemptOutcome, createAttempts, createRetryAllowance, type GatewayRequest,
} from './mod.ts';

const test = suite('attempts');

const sink: AnswerSink = {
  start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
};

/** Four nodes; those that are full refuse each request. */
const setUp = (fullNodes: ReadonlySet<string>) => {
  const clock = createFakeClock();
  const sent: string[] = [];
  const allowanceOf = (ratio: number, extra: number) => createRetryAllowance({
    clock, ratio, extra, windowMs: 10_000, nodeCount: () => 1,
  });
  const attempts = createAttempts({
    clock,
    chooser: {
      choose: (_, excluded) => {
        const node = ['n1', 'n2', 'n3', 'n4'].find((name) => !excluded.has(name))!;
        return {
          kind: 'peer', node, address: node, instance: node, reason: 'next', version: 0,
        };
      },
      report: () => undefined,
    },
    local: {
      handle: () => Promise.reject(new Error('not used')),
      load: () => ({
        inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
      }),
    },
    peers: {
      send: async (address) => {
        sent.push(address);
        const outcome: AttemptOutcome = fullNodes.has(address)
          ? refuseNotRun('the wait would be too long', 100, { step: 'admission.acquire' })
          : { kind: 'answered', status: 200 };
        return { outcome, load: undefined };
      },
      isSuspect: () => false,
      retain: () => undefined,
      close: async () => undefined,
    },
    allowance: allowanceOf(0.2, 10),
    search: allowanceOf(1, 40),
    logger: silentLogger,
  });
  const request: GatewayRequest = {
    requestId: 'r-1',
    service: 'orders',
    kind: 'unsafe',
    priority: 1,
    workClass: 'unsafe/1/400',
    key: undefined,
    instance: undefined,
    method: 'POST',
    path: '/',
    headers: [],
    body: null,
    deadlineAt: clock.now() + 60_000,
    targetAt: clock.now() + 400,
    hasReturned: false,
    signal: new AbortController().signal,
  };
  const run = () => attempts.run(request, 1, sink);
  return { clock, sent, run };
};

test('a request finds a node with room when another one refuses', async () => {
  const { sent, run } = setUp(new Set(['n1', 'n2']));
  assert.is((await run()).kind, 'answered');
  assert.equal(sent, ['n1', 'n2', 'n3']);
});

test('a service that is full does not get each request at several nodes', async () => {
  const { clock, sent, run } = setUp(new Set(['n1', 'n2', 'n3', 'n4']));
  for (let count = 0; count < 1000; count += 1) {
    assert.is((await run()).kind, 'refused');
    await clock.advance(1);
  }
  // A quarter of the requests may ask again, beside a burst of twelve.
  assert.ok(sent.length <= 1000 * 1.25 + 14, `${sent.length} sends`);
});

test.run();
