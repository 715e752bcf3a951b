import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import type { HttpListener } from '../http/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';

const test = suite('graceful stop with a step that fails');

const GRACE_MS = 6000;

const fail = () => {
  throw new Error('injected failure');
};

const failures = {
  announcement: { announceStop: fail },
  logger: { logger: { ...noopLogger, info: fail, forComponent: () => noopLogger } },
  'listener, at once': { stopListener: fail },
  'listener, later': { stopListener: () => Promise.reject(new Error('injected failure')) },
} as const satisfies Record<string, {
  readonly announceStop?: () => void;
  readonly logger?: Logger;
  readonly stopListener?: () => Promise<void>;
}>;

const setUp = ({ announceStop, logger, stopListener }: {
  readonly announceStop?: () => void;
  readonly logger?: Logger;
  readonly stopListener?: () => Promise<void>;
}) => {
  const clock = createFakeClock();
  const shutdown = createShutdownTracker(clock);
  const lines: string[] = [];
  const exits: number[] = [];
  const ends = createEndOwner({
    clock, logger: noopLogger, exit: (status) => exits.push(status),
  });
  let listenerStops = 0;
  const listenerOf = (stop: () => Promise<void>): HttpListener => ({
    listen: async () => '',
    isListening: () => true,
    stop,
    readArrived: async () => 0,
    closeIdle: () => undefined,
    kill: () => undefined,
  });
  const countStop = async () => {
    listenerStops += 1;
  };
  ends.setStop(createGracefulStop({
    clock,
    graceMs: GRACE_MS,
    shutdown,
    ends,
    listeners: [listenerOf(stopListener ?? countStop), listenerOf(countStop)],
    announceStop: announceStop ?? (() => undefined),
    logger: logger ?? {
      ...noopLogger,
      error: ({ step }, message) => lines.push(`${message}: ${String(step)}`),
    },
  }));
  const close = ends.forListener('caller', () => undefined).openRequest();
  const end = shutdown.trackRequest(clock.now() + GRACE_MS);
  return {
    clock,
    shutdown,
    lines,
    exits,
    listenerStops: () => listenerStops,
    signal: () => ends.endProcess({ reason: 'signal', status: 0 }),
    answer: () => {
      end();
      close();
    },
  };
};

// Guards against a step of the stop that throws, and ends the process with requests open.
for (const [step, failure] of Object.entries(failures)) {
  test(`the stop goes on if a step of it fails: ${step}`, async () => {
    const node = setUp(failure);
    node.signal();
    await node.clock.advance(2000);
    assert.is(node.shutdown.phase(), 'leaving');
    await node.clock.advance(2000);
    assert.is(node.shutdown.phase(), 'closing');
    assert.equal(node.exits, []);
    node.answer();
    await node.clock.advance(200);
    assert.is(node.shutdown.phase(), 'closed');
    assert.ok(node.listenerStops() > 0);
    assert.equal(node.exits, [0]);
    if (step !== 'logger') assert.is(node.lines.length, 1, node.lines.join());
  });
}

test.run();
