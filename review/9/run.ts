import { setTimeout as sleep } from 'node:timers/promises';
import { type CaseContext, runCase } from '../case_2.ts';
import { contractOf, startCaller } from '../client_2.ts';
import { startInstance } from '../instance_2.ts';

const DRAIN_MS = 2000;
/** Time for which the instance is down, within the 4.5 s of `srv_crash`. */
const DOWN_MS = 300;
/** Time from the new start to the departure: less than one heartbeat. */
const LEAVES_AFTER_MS = 800;
/** Time for which the instance serves after the acknowledgement: `drain` and some seconds. */
const SERVICE_AFTER_LEAVING_MS = 8000;
const WARM_UP_MS = 6000;

const run = async ({ deployment, recorder, hasTrouble }: CaseContext) => {
  const { note, now } = recorder;
  const store = await deployment.startStore();
  const hosts = [1, 2].map(() => (
    deployment.addHost({ zone: 'zone-1', service: 'orders', store })
  ));
  const [first, second] = [hosts[0]!, hosts[1]!];
  for (const host of hosts) host.start();
  const options = {
    host: first, id: 'i-leaving', service: 'orders', slots: 9, workMs: 100, recorder,
  };
  let leaving = await startInstance(options);
  const staying = await startInstance({ ...options, host: second, id: 'i-staying' });
  await store.publish(contractOf([
    {
      prefix: '/orders/', type: 'unsafe', service: 'orders', timeout: '2000ms',
    },
  ]));
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  await sleep(WARM_UP_MS);

  if (hasTrouble) {
    note('i-leaving crashes, and starts again under the identifier that it had');
    await leaving.end();
    await sleep(DOWN_MS);
    leaving = await startInstance(options);
  }
  await sleep(LEAVES_AFTER_MS);
  const acknowledgedAt = await leaving.deregister();
  if (acknowledgedAt === undefined) throw new Error('the departure was not acknowledged');
  const callers = hosts.map((host) => startCaller({
    name: `caller-of-${host.name}`,
    address: host.callerAddress,
    path: '/orders/1',
    method: 'POST',
    deadlineMs: 4000,
    pauseMs: 20,
    recorder,
  }));
  await sleep(Math.max(0, acknowledgedAt + SERVICE_AFTER_LEAVING_MS - now()));
  await leaving.end();
  await sleep(1000);
  await Promise.all(callers.map((caller) => caller.stop()));
  await staying.end();
  const late = leaving.arrivals.filter(({ at }) => at > acknowledgedAt + DRAIN_MS);
  const lost = callers.flatMap(({ endings }) => endings)
    .filter(({ status }) => status === undefined || status === 502);
  note(`requests that reached i-leaving later than ${DRAIN_MS} ms after the acknowledgement: ${
    late.length}`);
  note(`orders that ended without a result: ${lost.map(({ id }) => id).join(', ') || 'none'}`);
  return late.length > 0;
};

runCase('9', run);
