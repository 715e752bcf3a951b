import { connect } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import { type Logger, noopLogger } from '../telemetry/mod.ts';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { commonSettings } from './_test_loopback_fleet.ts';
import { startFleetNode } from './start_fleet_node.ts';

const test = suite('signal during the start');

/** Its lookup takes turns of the event loop, unlike that of a numeric address. */
const HOST = 'localhost';
/** Below the range from which the system assigns ports. */
const FIRST_PORT = 20_000;
const PORTS_PER_NODE = 6;
const PORTS_PER_PROCESS = 50;
const firstPort = FIRST_PORT + (process.pid % 200) * PORTS_PER_PROCESS;
/** Turns of the event loop from the first moment at which a stop is needed to the signal. */
const turnsBeforeSignal = [0, 1, 2, 3, 4, 6, 8, 12];
/** Far below the time in which callers learn that a node that was ready is to stop. */
const MAX_STOP_MS = 2000;

const settingsOf = (port: number): PlatformSettings => ({
  ...commonSettings,
  node: 'host-1',
  failureDomain: 'd',
  service: 'orders',
  listen: {
    caller: `${HOST}:${port}`,
    peer: `${HOST}:${port + 1}`,
    readiness: `${HOST}:${port + 2}`,
    announcements: `${HOST}:${port + 3}`,
  },
  store: { ...commonSettings.store, address: `${HOST}:${port + 4}` },
});

const isAccepting = (port: number) => new Promise<boolean>((resolve) => {
  const socket = connect(port, HOST, () => {
    socket.destroy();
    resolve(true);
  });
  socket.on('error', () => resolve(false));
});

interface Outcome {
  readonly status: number;
  readonly stopMs: number;
  /** Whether all listeners were bound before the signal. */
  readonly wasStarted: boolean;
  readonly acceptedCount: number;
  readonly failure: unknown;
}

/** Starts a node, signals it some turns after it can be stopped, and connects until its end. */
const stopStarting = async (port: number, turns: number): Promise<Outcome> => {
  const clock = createSystemClock();
  let isStarted = false;
  let wasStarted = false;
  let signalledAt = 0;
  const logger: Logger = {
    ...noopLogger,
    info: (_, message) => {
      isStarted ||= message === 'started';
    },
    forComponent: () => noopLogger,
  };
  let failure: unknown;
  let exitWith = (_status: number) => undefined as void;
  const exited = new Promise<number>((resolve) => {
    exitWith = resolve;
  });
  const ends = createEndOwner({ clock, logger: noopLogger, exit: exitWith });
  const signal = async () => {
    for (let turn = 0; turn < turns; turn += 1) await nextTurn();
    wasStarted = isStarted;
    signalledAt = clock.now();
    ends.endProcess({ reason: 'signal', status: 0 });
  };
  const starting = startFleetNode(settingsOf(port), {
    clock,
    logger,
    metricsPort: port + 5,
    ends: {
      ...ends,
      setStop: (stop, fallback) => {
        ends.setStop(stop, fallback);
        signal();
      },
    },
  }).catch((error: unknown) => {
    failure = error;
    ends.endProcess({ reason: 'failed start', status: 1 });
    return undefined;
  });
  let hasExited = false;
  exited.finally(() => {
    hasExited = true;
  });
  let acceptedCount = 0;
  while (!hasExited && !wasStarted) {
    if (await isAccepting(port)) acceptedCount += 1;
    await nextTurn();
  }
  const status = await exited;
  const stopMs = clock.now() - signalledAt;
  await (await starting)?.kill();
  return {
    status, stopMs, wasStarted, acceptedCount, failure,
  };
};

const outcomes: Outcome[] = [];

// Guards against a node that binds its listeners after a signal, and accepts callers into a process
// that is to end.
addConcurrentTests(test, Object.fromEntries(turnsBeforeSignal.map((turns, index) => [
  `a node that is signalled ${turns} turns into its binds accepts no caller`,
  async () => {
    const outcome = await stopStarting(firstPort + index * PORTS_PER_NODE, turns);
    outcomes.push(outcome);
    assert.is(outcome.failure, undefined);
    assert.is(outcome.status, 0);
    if (outcome.wasStarted) return;
    assert.is(outcome.acceptedCount, 0);
    assert.ok(outcome.stopMs < MAX_STOP_MS, `ended ${outcome.stopMs} ms after the signal`);
  },
])));

test('some signals come during the binds', () => {
  assert.ok(outcomes.some(({ wasStarted }) => !wasStarted));
});

test.run();
