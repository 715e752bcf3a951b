import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '../admission/_test_support.ts';
import { createFakeClock } from '../clock/mod.ts';
import type { ResponseSink } from '../forward/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { refuseNotRun } from './_refusals.ts';
import {
  type AttemptOutcome, createRequestSender, createServiceRetryBudget, type GatewayRequest,
} from './mod.ts';

const test = suite('request sender');

const sink: ResponseSink = {
  start: () => 'deliver', write: () => true, onDrain: () => undefined, end: () => undefined,
};

/** Creates a sender for four nodes, of which the overloaded ones refuse every request. */
const setUp = (overloadedNodes: ReadonlySet<string>, changes: Partial<GatewayRequest> = {}) => {
  const clock = createFakeClock();
  const sentTo: string[] = [];
  const budgetOf = (ratio: number, extraRetries: number) => createServiceRetryBudget({
    clock, ratio, extraRetries, windowMs: 10_000, nodeCount: () => 1,
  });
  const sender = createRequestSender({
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
      forward: () => Promise.reject(new Error('not used')),
      recordRefusal: () => undefined,
      load: () => ({
        inFlight: 0, queued: 0, limit: 1, serviceRate: 0,
      }),
    },
    peers: {
      send: async (address) => {
        sentTo.push(address);
        const outcome: AttemptOutcome = overloadedNodes.has(address)
          ? refuseNotRun('the wait would be too long', 100, { step: 'admission.acquire' })
          : { kind: 'answered', status: 200 };
        return { outcome, load: undefined };
      },
      isSuspect: () => false,
      retain: () => undefined,
      close: async () => undefined,
    },
    retryBudget: budgetOf(0.2, 10),
    failoverBudget: budgetOf(1, 40),
    logger: noopLogger,
    random: createRandom(5),
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
    latencyTargetAt: clock.now() + 400,
    isCallerRetry: false,
    withheld: 0,
    signal: new AbortController().signal,
    ...changes,
  };
  const run = () => sender.send(request, 1, sink);
  return {
    clock, sentTo, run, sender, request,
  };
};

test('a request is sent to further nodes until one accepts it', async () => {
  const { sentTo, run } = setUp(new Set(['n1', 'n2']));
  assert.is((await run()).kind, 'answered');
  assert.equal(sentTo, ['n1', 'n2', 'n3']);
});

// Sending each refused request to further nodes would multiply the load of an overloaded service.
test('an overloaded service does not receive every request at several nodes', async () => {
  const { clock, sentTo, run } = setUp(new Set(['n1', 'n2', 'n3', 'n4']));
  for (let count = 0; count < 1000; count += 1) {
    assert.is((await run()).kind, 'refused');
    await clock.advance(1);
  }
  // A quarter of the requests may try a second node, plus a burst of twelve.
  assert.ok(sentTo.length <= 1000 * 1.25 + 14, `${sentTo.length} sends`);
});

// The owner of a busy key got every request for it, and spent its processor time on refusals.
test('most requests for an overloaded owner are refused before they are sent', async () => {
  const { clock, sentTo, run } = setUp(new Set(['n1']), { key: 7 });
  for (let count = 0; count < 200; count += 1) {
    const outcome = await run();
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
    await clock.advance(10);
  }
  assert.ok(sentTo.length < 40, `${sentTo.length} of 200 sent`);
});

// Guards against reading the body of a request whose owner is known to have no room.
test('a request for an overloaded owner is refused early, and is asked about once', async () => {
  const {
    run, sender, request, sentTo,
  } = setUp(new Set(['n1']), { key: 7 });
  assert.is(sender.refuseEarly(request), undefined);
  for (let count = 0; count < 200; count += 1) await run();
  let refused = 0;
  for (let count = 0; count < 100; count += 1) {
    const early = sender.refuseEarly(request);
    if (early === undefined) continue;
    refused += 1;
    assert.is(early.refusal.step, 'routing.throttle');
    assert.is(early.refusal.outcome, 'not run');
  }
  assert.ok(refused > 70, `${refused} of 100 refused`);
  const sentBefore = sentTo.length;
  await sender.send({ ...request, isAdmitted: true }, 1, sink);
  assert.is(sentTo.length, sentBefore + 1);
});

test('requests without a key and nested calls are not refused early', async () => {
  for (const change of [{ key: undefined }, { key: 7, isNestedCall: true }]) {
    const { run, sender, request } = setUp(new Set(['n1']), change);
    for (let count = 0; count < 100; count += 1) await run();
    assert.is(sender.refuseEarly(request), undefined);
  }
});

test('nested calls are sent to an overloaded target', async () => {
  const { sentTo, run } = setUp(new Set(['n1']), { key: 7, isNestedCall: true });
  for (let count = 0; count < 50; count += 1) await run();
  assert.is(sentTo.length, 50);
});

// Guards against callers' requests that pass as nested calls: for their route's rank, or as late.
test('urgent and late requests of callers are withheld from an overloaded target', async () => {
  for (const change of [{ priority: 0 }, { deadlineAt: 340, latencyTargetAt: 300 }]) {
    const { sentTo, run } = setUp(new Set(['n1']), { key: 7, ...change });
    for (let count = 0; count < 50; count += 1) await run();
    assert.ok(sentTo.length < 30, `${sentTo.length} of 50 sent`);
  }
});

test.run();
