import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createNodeStop, type NodeStopOptions } from './_node_stop.ts';

const test = suite('stop of a node with a step that fails');

const PROPAGATION_MS = 2000;
/** Bound of the wait for open requests after a failed step. */
const LIMIT_MS = 30_000;

const fail = () => {
  throw new Error('injected failure');
};
const reject = () => Promise.reject(new Error('injected failure'));

type Steps = Partial<Pick<NodeStopOptions, 'drain' | 'leave' | 'stopServices' | 'logger'>> & {
  readonly stopListener?: () => Promise<void>;
};

const failures: Readonly<Record<string, Steps>> = {
  'drain, at once': { drain: fail },
  'drain, later': { drain: reject },
  'listener, at once': { stopListener: fail },
  'listener, later': { stopListener: reject },
  leave: { leave: reject },
  services: { stopServices: reject },
  logger: {
    logger: {
      ...noopLogger, info: fail, error: fail, forComponent: () => noopLogger,
    },
  },
};

const setUp = ({ stopListener, ...steps }: Steps) => {
  const clock = createFakeClock();
  const exits: number[] = [];
  const events: string[] = [];
  const ends = createEndOwner({
    clock, logger: noopLogger, exit: (status) => exits.push(status),
  });
  const note = (event: string) => async () => {
    events.push(event);
  };
  /** Stops as a listener does: once its requests have been answered. */
  const stopSecond = async () => {
    events.push('listener');
    await ends.untilAnswered(Infinity);
  };
  const { stop, isPlanned } = createNodeStop({
    clock,
    ends,
    drain: note('drain'),
    listeners: [{ stop: stopListener ?? note('first listener') }, { stop: stopSecond }],
    leave: note('leave'),
    stopServices: note('services'),
    logger: noopLogger,
    ...steps,
  });
  ends.setStop(stop);
  return {
    clock,
    exits,
    events,
    isPlanned,
    close: ends.forListener('caller', () => undefined).openRequest(),
    end: (reason: 'signal' | 'exception') => ends.endProcess({
      reason, status: reason === 'signal' ? 0 : 1,
    }),
  };
};

// Guards against a step of the stop that fails, and ends the process with requests open.
for (const [step, steps] of Object.entries(failures)) {
  test(`the open requests are answered if a step fails: ${step}`, async () => {
    const node = setUp(steps);
    node.end('signal');
    await node.clock.advance(PROPAGATION_MS + 1000);
    assert.ok(node.events.includes('listener'));
    assert.equal(node.exits, []);
    node.close();
    await node.clock.advance(0);
    for (const event of ['leave', 'services']) {
      assert.ok(step === event || node.events.includes(event), event);
    }
    assert.equal(node.exits, [1]);
  });
}

// Guards against a process that never exits, since a request stays open after a failed step.
for (const step of ['drain, later', 'listener, later'] as const) {
  test(`a request that stays open delays the exit no longer than the limit: ${step}`, async () => {
    const node = setUp(failures[step]!);
    node.end('signal');
    await node.clock.advance(PROPAGATION_MS + LIMIT_MS - 1);
    assert.equal(node.exits, []);
    await node.clock.advance(1);
    assert.equal(node.exits, [1]);
  });
}

test('a stop without a failure ends with status 0, in the order of its steps', async () => {
  const node = setUp({});
  node.end('signal');
  await node.clock.advance(PROPAGATION_MS - 1);
  assert.equal(node.events, ['drain']);
  node.close();
  await node.clock.advance(1);
  assert.equal(node.events, ['drain', 'first listener', 'listener', 'leave', 'services']);
  assert.equal(node.exits, [0]);
});

test('a signal makes the stop a planned one, before or after an exception', async () => {
  const node = setUp({});
  assert.not(node.isPlanned());
  node.end('exception');
  assert.not(node.isPlanned());
  node.end('signal');
  assert.ok(node.isPlanned());
  const signalled = setUp({});
  signalled.end('signal');
  signalled.end('exception');
  assert.ok(signalled.isPlanned());
});

test.run();
