import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createColdStartLimit } from '../admission/mod.ts';
import { createFakeClock } from '../clock/mod.ts';
import { createEgressLink } from '../http/mod.ts';
import { refuseNotRun, refuseUnknown } from './_refusals.ts';
import { createDemandMeter } from './demand_meter.ts';
import type { InstanceClient } from './instance_client.ts';
import { createLocalForwarder, type LocalForwarderOptions } from './local_forwarder.ts';
import type { GatewayRequest } from './request.ts';
import { createSlotQueue } from './slot_queue.ts';

const test = suite('local forwarder');

const sink = {
  start: () => 'deliver' as const,
  write: () => true,
  onDrain: () => undefined,
  end: () => undefined,
};

/** Creates a forwarder in front of an instance to which `send` sends. */
const setUp = (
  send: InstanceClient['send'],
  { findObjection = () => undefined, maxColdPerSecond = Infinity }: {
    readonly findObjection?: LocalForwarderOptions['findObjection'];
    readonly maxColdPerSecond?: number;
  } = {},
) => {
  const clock = createFakeClock();
  const link = createEgressLink({ clock, megabitsPerSecond: 8, maxBufferedBytes: 100_000 });
  const keyLoad: number[] = [];
  const runs: unknown[] = [];
  const origins: unknown[] = [];
  let openExpectations = 0;
  const forwarder = createLocalForwarder({
    clock,
    instance: () => ({
      instance: 'a',
      service: 'maps',
      state: 'ready',
      acceptsUntil: Number.POSITIVE_INFINITY,
      client: { send, hasUnfinishedWork: () => false, close: () => undefined },
    }),
    keys: {
      mayServe: () => true,
      retryAfterMs: () => 0,
      record: (key) => {
        keyLoad.push(key);
      },
    },
    findObjection,
    queue: createSlotQueue({ clock, slots: () => 1, instance: () => 'a' }),
    demand: createDemandMeter({ clock, random: () => 0.5 }),
    leftWorkMs: (_, ranMs) => 80 - ranMs,
    coldStart: createColdStartLimit({
      clock, isCold: () => true, maxPerSecond: () => maxColdPerSecond,
    }),
    startRun: (deadlineAt, origin) => {
      origins.push(origin);
      return (isComplete) => runs.push([deadlineAt, isComplete]);
    },
    link: {
      bulkDelayMs: link.bulkDelayMs,
      expectBulk: () => {
        const end = link.expectBulk();
        openExpectations += 1;
        return () => {
          openExpectations -= 1;
          end();
        };
      },
    },
  });
  const requestOf = (changes: Partial<GatewayRequest> = {}): GatewayRequest => ({
    requestId: 'r1',
    service: 'maps',
    kind: 'download',
    priority: 1,
    workClass: 'download/1/500',
    key: undefined,
    instance: undefined,
    method: 'GET',
    path: '/',
    headers: [],
    body: null,
    deadlineAt: clock.now() + 1000,
    latencyTargetAt: clock.now() + 500,
    isCallerRetry: false,
    withheld: 0,
    signal: new AbortController().signal,
    ...changes,
  });
  return {
    clock, forwarder, requestOf, keyLoad, runs, origins, openExpectations: () => openExpectations,
  };
};

// Each exception took a slot of the instance and a place of the link until the process ended.
test('an exception of the instance client gives the slot and the expectation back', async () => {
  const { forwarder, requestOf, openExpectations } = setUp(
    () => Promise.reject(new Error('invalid header')),
  );
  const reason = await forwarder.forward(requestOf(), sink).catch(String);
  assert.is(reason, 'Error: invalid header');
  assert.is(forwarder.load().inFlight, 0);
  assert.is(openExpectations(), 0);
});

// Guards against one request too many at an instance that never answers what it cannot queue.
test('the slot of a request that its caller left is taken while the instance works', async () => {
  const abort = new AbortController();
  const { clock, forwarder, requestOf } = setUp(async () => {
    clock.jump(50);
    abort.abort();
    return refuseUnknown('cancelled', { step: 'instance.send' });
  });
  await forwarder.forward(requestOf({ signal: abort.signal }), sink);
  await clock.advance(29);
  assert.is(forwarder.load().inFlight, 1);
  await clock.advance(1);
  assert.is(forwarder.load().inFlight, 0);
});

// Guards against cold keys that look hot, since a request for one comes after many withheld ones.
test('neither withheld requests nor retries of callers count in the load of a key', async () => {
  const { forwarder, requestOf, keyLoad } = setUp(
    async () => ({ kind: 'answered', status: 200 }),
  );
  await forwarder.forward(requestOf({ key: 5, withheld: 3 }), sink);
  await forwarder.forward(requestOf({ key: 5, withheld: 3, isCallerRetry: true }), sink);
  assert.equal(keyLoad, [5]);
});

// The instance ran requests that were waiting for a slot when its failure domain was evacuated.
test('an evacuated instance gets no request, nested calls and waiting ones included', async () => {
  let isEvacuated = false;
  const sent: string[] = [];
  let finish: () => void = () => undefined;
  const { forwarder, requestOf } = setUp(async ({ requestId }) => {
    sent.push(requestId);
    await new Promise<void>((resolve) => {
      finish = resolve;
    });
    return { kind: 'answered', status: 200 };
  }, { findObjection: (hasKey) => (isEvacuated && !hasKey ? 'evacuated' : undefined) });
  const forward = (changes: Partial<GatewayRequest>) => (
    forwarder.forward(requestOf({ kind: 'safe', ...changes }), sink)
  );
  const running = forward({ requestId: 'running' });
  await Promise.resolve();
  const waiting = [forward({ requestId: 'call', priority: 0 }), forward({ requestId: 'waiting' })];
  isEvacuated = true;
  const late = await forward({ requestId: 'late', priority: 0 });
  finish();
  assert.is((await running).kind, 'answered');
  for (const outcome of [late, ...await Promise.all(waiting)]) {
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
    assert.ok(outcome.kind === 'refused' && !outcome.reachedInstance);
  }
  assert.equal(sent, ['running']);
  const keyed = forward({ requestId: 'keyed', key: 5 });
  await Promise.resolve();
  finish();
  assert.is((await keyed).kind, 'answered');
});

// Guards against sending nearly everything to an instance that refuses nearly everything.
test('an instance that refuses everything is asked less and less', async () => {
  let asked = 0;
  const { forwarder, requestOf } = setUp(async () => {
    asked += 1;
    return { ...refuseNotRun('full', 100, { step: 'instance.send' }), reachedInstance: true };
  });
  for (let count = 0; count < 100; count += 1) {
    const outcome = await forwarder.forward(requestOf(), sink);
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
  }
  assert.ok(asked < 20, `${asked} asked`);
  assert.ok((forwarder.load().excess?.timely ?? 0) > 0.9);
});

// Guards against the crash of a cold instance, and against places that failed connections keep.
test('a cold instance is sent its bound, and the rest is refused as not run', async () => {
  let sent = 0;
  const { clock, forwarder, requestOf } = setUp(async (request, to, listeners) => {
    if (request.kind === 'unsafe') return refuseNotRun('connect ECONNREFUSED', 100, { step: '' });
    listeners?.onSent?.();
    sent += 1;
    return { kind: 'answered', status: 200 };
  }, { maxColdPerSecond: 10 });
  await clock.advance(1200);
  for (let count = 0; count < 20; count += 1) {
    await forwarder.forward(requestOf({ kind: 'unsafe' }), sink);
  }
  await clock.advance(10_000);
  let refused = 0;
  for (let count = 0; count < 60; count += 1) {
    const outcome = await forwarder.forward(requestOf({ kind: 'safe' }), sink);
    await clock.advance(10);
    if (outcome.kind !== 'refused') continue;
    const { step, outcome: promise, retryAfterSeconds } = outcome.refusal;
    assert.equal([step, promise, outcome.reachedInstance], ['admission.cold', 'not run', false]);
    assert.ok(retryAfterSeconds! > 0);
    refused += 1;
  }
  const { serviceRate, excess, inFlight } = forwarder.load();
  assert.equal([sent, refused, serviceRate, inFlight], [10, 50, 9, 0]);
  assert.ok(excess!.timely > 0.5, 'senders are told to withhold requests');
});

// Guards against slots and places of the limit that a failed connection keeps for good.
test('a request that was never written to the instance takes no place in the bound', async () => {
  const { clock, forwarder, requestOf } = setUp(
    async () => refuseNotRun('connect ECONNREFUSED', 100, { step: 'instance.send' }),
    { maxColdPerSecond: 1 },
  );
  await clock.advance(1200);
  for (let count = 0; count < 3; count += 1) {
    const outcome = await forwarder.forward(requestOf({ kind: 'safe' }), sink);
    assert.is(outcome.kind === 'refused' && outcome.refusal.step, 'instance.send');
  }
});

// Guards against calls that count as callers' requests while an instance works on a lost request.
test('a run is reported with its deadline, and as complete only with an answer', async () => {
  for (const [outcome, isComplete] of [
    [{ kind: 'answered', status: 200 } as const, true],
    [refuseNotRun('full', 100, { step: 'instance.send' }), true],
    [refuseUnknown('reset', { step: 'instance.send' }), false],
  ] as const) {
    const { forwarder, requestOf, runs } = setUp(async () => outcome);
    await forwarder.forward(requestOf({ deadlineAt: 1700 }), sink);
    assert.equal(runs, [[1700, isComplete]]);
  }
  const { forwarder, requestOf, runs } = setUp(() => Promise.reject(new Error('a defect')));
  await forwarder.forward(requestOf({ deadlineAt: 1700 }), sink).catch(String);
  assert.equal(runs, [[1700, false]]);
});

// Guards against runs of this host's callers that count as evidence for nested calls.
test('a run is reported with its origin', async () => {
  const { forwarder, requestOf, origins } = setUp(async () => ({ kind: 'answered', status: 200 }));
  await forwarder.forward(requestOf(), sink);
  await forwarder.forward(requestOf({ isFromPeer: true }), sink);
  assert.equal(origins, ['host', 'peer']);
});

test.run();
