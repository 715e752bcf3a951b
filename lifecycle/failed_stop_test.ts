import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEndOwner, type StopNode } from './mod.ts';

const test = suite('owner of the ends and a stop that fails');

const GRACE_MS = 6000;
/** Part of the grace time before whose begin a node must exit. */
const RESERVE_MS = 500;
/** Time that the refusal of unread requests takes. */
const REFUSAL_MS = 20;

const failingStops: Readonly<Record<string, StopNode>> = {
  throws: () => {
    throw new Error('injected failure');
  },
  rejects: () => Promise.reject(new Error('injected failure')),
};

const setUp = (stop: StopNode) => {
  const clock = createFakeClock();
  const exits: number[] = [];
  const refusals: number[] = [];
  const arrivals: number[] = [];
  const owner = createEndOwner({
    clock, logger: noopLogger, exit: (status) => exits.push(status),
  });
  owner.setStop(stop, {
    graceMs: GRACE_MS,
    refuseRequests: (endsBy) => refusals.push(endsBy),
    refuseArrived: async (exitBy) => {
      arrivals.push(exitBy);
      await clock.sleep(REFUSAL_MS);
    },
  });
  return {
    clock,
    exits,
    owner,
    refusals,
    arrivals,
    open: owner.forListener('caller', () => undefined).openRequest,
  };
};

// Guards against an exit with requests open since the stop of the node has failed.
for (const [how, stop] of Object.entries(failingStops)) {
  test(`a stop that ${how} leaves open requests their answers`, async () => {
    const {
      clock, exits, owner, refusals, open,
    } = setUp(stop);
    const close = open();
    owner.endProcess({ reason: 'signal', status: 0 });
    await clock.advance(1000);
    assert.equal(exits, []);
    assert.equal(refusals, [GRACE_MS - RESERVE_MS]);
    close();
    await clock.advance(REFUSAL_MS);
    assert.equal(exits, [1]);
  });

  test(`a stop that ${how} ends the process within the grace time`, async () => {
    const {
      clock, exits, owner, open,
    } = setUp(stop);
    open();
    owner.endProcess({ reason: 'signal', status: 0, sinceMs: 1000 });
    await clock.advance(GRACE_MS - RESERVE_MS - 1001);
    assert.equal(exits, []);
    await clock.advance(1 + REFUSAL_MS);
    assert.equal(exits, [1]);
  });

  // Guards against an exception in the handler of an exception, which ends the process at once.
  test(`a stop that ${how} keeps a second cause from throwing`, async () => {
    const {
      clock, exits, owner, open,
    } = setUp(stop);
    const close = open();
    owner.endProcess({ reason: 'signal', status: 0 });
    owner.endProcess({ reason: 'exception', status: 1 });
    await clock.advance(1000);
    assert.equal(exits, []);
    close();
    await clock.advance(REFUSAL_MS);
    assert.equal(exits, [1]);
  });
}

// Guards against an exit that resets the connections whose requests are unread.
for (const [how, stop] of Object.entries(failingStops)) {
  test(`a stop that ${how} refuses what has arrived before the exit`, async () => {
    const {
      clock, exits, owner, arrivals, open,
    } = setUp(stop);
    const close = open();
    owner.endProcess({ reason: 'signal', status: 0 });
    await clock.advance(1000);
    assert.equal(arrivals, []);
    close();
    await clock.advance(REFUSAL_MS - 1);
    assert.is(arrivals.length, 1);
    assert.ok(arrivals[0]! < GRACE_MS);
    assert.equal(exits, []);
    await clock.advance(1);
    assert.equal(exits, [1]);
  });
}

// Guards against a process that does not exit, and is killed, since its metrics fail at its end.
test('a failing report of an open end does not keep the process from its exit', async () => {
  const {
    clock, exits, owner, open,
  } = setUp(async () => undefined);
  owner.onOpenEnd(() => {
    throw new Error('injected failure');
  });
  open();
  owner.endProcess({ reason: 'signal', status: 0 });
  await clock.advance(0);
  assert.equal(exits, [0]);
});

test.run();
