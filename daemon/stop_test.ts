import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../clock/mod.ts';
import { createEndOwner, type ProcessEndReason } from '../lifecycle/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { addConcurrentTests } from '../testing/concurrent_tests.ts';
import { openConnection } from '../testing/open_connection.ts';
import {
  callerTokens, clock, planHost, send, startTestFleet, waitUntil,
} from './_test_fleet.ts';

const test = suite('stop of a node');

/** Longer than the time from the signal until a node stops its listeners. */
const WORK_MS = 3000;
/** Time after the signal at which the client ends its side; the listeners still accept. */
const FIN_MS = 300;
/** Time within which the end of a connection cancels its run. */
const NOTICE_MS = 1000;

/** Starts a node whose instance runs a request of a raw connection. */
const setUp = async () => {
  let isFailing = false;
  const failingClock: Clock = {
    ...clock,
    sleep: (ms, signal) => {
      if (isFailing) throw new Error('injected failure');
      return clock.sleep(ms, signal);
    },
  };
  const fleet = await startTestFleet([planHost(0, 'ledger'), planHost(1, 'archive')], {
    clock: failingClock,
  });
  const host = fleet.hosts[1]!;
  const exits: number[] = [];
  const ends = createEndOwner({
    clock, logger: noopLogger, exit: (status) => exits.push(status),
  });
  ends.setStop(host.node.stop);
  const connection = openConnection(host.node.addresses.caller);
  connection.socket.write([
    'GET /state/1 HTTP/1.1', 'host: h', `authorization: Bearer ${callerTokens.mesh}`,
    `x-work-ms: ${WORK_MS}`, '\r\n',
  ].join('\r\n'));
  const run = () => host.upstream.executions().find(({ path }) => path === '/state/1');
  await waitUntil('the request runs', () => run() !== undefined);
  return {
    ...connection,
    host,
    exits,
    run,
    end: (reason: ProcessEndReason) => ends.endProcess({
      reason, status: reason === 'signal' ? 0 : 1,
    }),
    failDrain: () => {
      isFailing = true;
      ends.endProcess({ reason: 'signal', status: 0 });
      isFailing = false;
    },
    exited: () => waitUntil('the process exits', () => exits.length > 0),
    logLines: fleet.logLines,
    stop: fleet.stop,
  };
};

const leaveAfter = async (reasons: readonly ProcessEndReason[], status: number) => {
  const node = await setUp();
  for (const reason of reasons) node.end(reason);
  await clock.sleep(FIN_MS);
  node.socket.end();
  await node.closed;
  assert.match(node.received(), /^HTTP\/1\.1 200 /u);
  await node.exited();
  assert.equal(node.exits, [status]);
  await node.stop();
};

const cancelAfterException = async () => {
  const node = await setUp();
  node.end('exception');
  await clock.sleep(FIN_MS);
  node.socket.end();
  await clock.sleep(NOTICE_MS);
  assert.is(node.run()?.result, 'cancelled');
  await node.exited();
  assert.equal(node.exits, [1]);
  await node.stop();
};

const failDrain = async () => {
  const node = await setUp();
  node.failDrain();
  await clock.sleep(FIN_MS);
  assert.equal(node.exits, [], 'the process has exited with a request open');
  await node.closed;
  assert.match(node.received(), /^HTTP\/1\.1 200 /u);
  await node.exited();
  assert.equal(node.exits, [1]);
  assert.match(node.logLines.join(''), /injected failure[^\n]*a step of the stop failed/u);
  const refused = await send(node.host, '/state/2').catch(String);
  assert.match(String(refused), /ECONNREFUSED/u);
  await node.stop();
};

addConcurrentTests(test, {
  // A client that ended its side while the node drained lost its answer, and its run was cut.
  'a FIN right after the signal leaves the request its answer': () => leaveAfter(['signal'], 0),
  'a signal after an exception leaves a half-open client its answer': () => (
    leaveAfter(['exception', 'signal'], 1)
  ),
  // After an exception, a client that has left still counts as one that has left.
  'a FIN after an exception cancels the run': cancelAfterException,
  // A drain that failed ended the process at once, with all its requests open.
  'a drain that fails leaves the open requests their answers': failDrain,
});

test.run();
