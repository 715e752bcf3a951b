import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { type CaseContext, runCase } from '../case_2.ts';
import { callOnce, contractOf } from '../client_2.ts';
import { HEARTBEAT_MS } from '../deployment_2.ts';
import { startKeyedInstance } from '../keyed_instance_2.ts';

const DRAIN_MS = 2000;
/** The instance serves for `drain` after the acknowledgement, and a little longer. */
const A_LITTLE_LONGER_MS = 100;
/** Deadline and time-out of the requests; the slow one takes nearly all of it. */
const DEADLINE_MS = 3000;
const SLOW_WORK_MS = 2900;
const FAST_WORK_MS = 50;
/** Time after the acknowledgement at which the slow request is sent; `drain` allows 2 s. */
const SLOW_REQUEST_AFTER_MS = 900;
/**
 * Time in ms from the acknowledgement to a heartbeat of the other instance, with which it gets the
 * keys: after `drain` and the time in which a node notices that nobody listens, and before the slow
 * request ends.
 */
const HEARTBEAT_AFTER_MS = 3200;
const WARM_UP_MS = 14_000;
/** Time within which the keys of an instance that has left are given to another one. */
const GIVEN_LIMIT_MS = 15_000;

const run = async ({ deployment, recorder, hasTrouble }: CaseContext) => {
  const { note, now } = recorder;
  const store = await deployment.startStore();
  const hosts = [1, 2].map(() => (
    deployment.addHost({ zone: 'zone-1', service: 'ledger', store })
  ));
  const [first, second] = [hosts[0]!, hosts[1]!];
  for (const host of hosts) host.start();
  const options = {
    service: 'ledger',
    slots: 9,
    recorder,
    workMsOf: (path: string) => (path.endsWith('/slow') ? SLOW_WORK_MS : FAST_WORK_MS),
  };
  let key = -1;
  let violations = 0;
  let reportGiven = () => undefined as void;
  const given = new Promise<void>((settle) => {
    reportGiven = settle;
  });
  const leaving = await startKeyedInstance({ ...options, host: first, id: 'i-leaving' });
  const staying = await startKeyedInstance({
    ...options,
    host: second,
    id: 'i-staying',
    onTake: (rows) => {
      if (!rows.some(({ from, to }) => key >= from && key <= to)) return;
      const leftMs = Math.round(leaving.holdEndsAt() - now());
      const isAtWork = leaving.isAtWorkOn(key);
      note(`i-staying is given key ${key}: i-leaving is ${isAtWork ? '' : 'not '}at work on it, ${
        leftMs} ms before the end of its hold`);
      if (isAtWork && leftMs > 0) violations += 1;
      reportGiven();
    },
  });
  await store.publish(contractOf([
    {
      prefix: '/ledger/', type: 'safe', service: 'ledger', timeout: `${DEADLINE_MS}ms`,
    },
  ], { isKeyed: true }));
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  await sleep(WARM_UP_MS);
  const [row] = leaving.held();
  if (row === undefined) throw new Error('i-leaving holds no keys');
  key = row.from + 1;
  const agent = new Agent({ keepAlive: true });
  const send = (id: string, path: string) => callOnce(second.callerAddress, {
    id, path, key, deadlineMs: DEADLINE_MS, agent,
  }).then(({ status, reason }) => note(`${id} ends: ${status ?? reason}`));

  await send('request-1', '/ledger/fast');
  if (hasTrouble) {
    const sinceReportMs = (now() + HEARTBEAT_AFTER_MS - staying.reportedAt()) % HEARTBEAT_MS;
    await sleep(HEARTBEAT_MS - sinceReportMs);
    const acknowledgedAt = await leaving.deregister();
    if (acknowledgedAt === undefined) throw new Error('the departure was not acknowledged');
    await sleep(SLOW_REQUEST_AFTER_MS);
    const slow = send('request-2', '/ledger/slow');
    // While the first request runs, the other instance begins one for the same key.
    const third = given.then(() => send('request-3', '/ledger/fast'));
    await sleep(Math.max(0, acknowledgedAt + DRAIN_MS + A_LITTLE_LONGER_MS - now()));
    await leaving.finish();
    await slow;
    await Promise.race([third, sleep(GIVEN_LIMIT_MS)]);
  } else {
    await send('request-2', '/ledger/slow');
  }
  await sleep(3000);
  leaving.end();
  staying.end();
  agent.destroy();
  note(`keys given to i-staying while i-leaving was at work on them: ${violations}`);
  return violations > 0;
};

runCase('6', run);
