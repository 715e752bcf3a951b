import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../../clock/mod.ts';
import { startPlatformStore } from '../../standins/platform_store.ts';
import { type Answer, createCaller } from '../caller.ts';
import { publish } from '../contract.ts';
import { findHosts } from '../hosts.ts';
import { type Instance, startInstance } from '../instance.ts';
import { startNodes } from '../node_process.ts';
import { runCase } from '../record.ts';

const SERVICES = ['orders', 'orders', 'orders', 'archive'];
const SETTLE_MS = 4000;
const DOWN_MS = 500;
/** Delay in ms of the last liveness report: "may arrive seconds late". */
const REPORT_DELAY_MS = 2500;
const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
const MARGIN_MS = 200;
/** Time in ms for which the instance serves after the acknowledgement. */
const LINGER_MS = 8000;
const SEND_PAUSE_MS = 15;
const WORK_MS = 100;
const RETRY_MS = 20;

runCase('an instance that deregisters after a restart', async (record, isTroubled, stopLater) => {
  const hosts = await findHosts(SERVICES);
  const store = await startPlatformStore(createSystemClock());
  await publish(store, 1, [
    { prefix: '/maps/', kind: 'download', service: 'archive' },
    { prefix: '/orders/', kind: 'unsafe', service: 'orders' },
  ]);
  const nodes = startNodes(hosts, () => store.address, stopLater);
  const instances: Instance[] = [];
  for (const host of hosts) {
    const instance = await startInstance({ host, record, workMs: WORK_MS });
    stopLater(instance.stop);
    instances.push(instance);
  }
  for (const node of nodes) await node.ready();
  const callers = hosts.slice(1).map((host) => createCaller(host, record));
  for (const caller of callers) stopLater(caller.close);
  await sleep(SETTLE_MS);

  const [node] = nodes;
  const [leaving] = instances;
  let startedAt = performance.now();
  leaving!.stopReports();
  if (isTroubled) {
    node!.signal('SIGKILL');
    await node!.ended();
    record.write('killed', { node: node!.host.name });
    await sleep(DOWN_MS);
    node!.start();
    startedAt = performance.now();
    record.write('restarted', { node: node!.host.name });
  }
  // The report says what was so before the instance left, and arrives late.
  const lateReport = leaving!.call('heartbeat', REPORT_DELAY_MS).then((isAcknowledged) => {
    record.write('late report', { instance: leaving!.id, acknowledged: isAcknowledged });
  });
  while (!await leaving!.call('deregister')) await sleep(RETRY_MS);
  const acknowledgedAt = performance.now();
  record.write('deregistered', { instance: leaving!.id });

  const sends: Promise<Answer>[] = [];
  while (performance.now() < acknowledgedAt + LINGER_MS) {
    const caller = callers[sends.length % callers.length]!;
    sends.push(caller.send('/orders/1', { method: 'POST' }));
    await sleep(SEND_PAUSE_MS);
  }
  await lateReport;
  record.write('left', { instance: leaving!.id });
  leaving!.stop();
  const answers = await Promise.all(sends);
  const served = answers.filter(({ status }) => status === 200).length;

  // The restarted machine is in touch again after the contact time.
  const judgedFrom = Math.max(acknowledgedAt + DRAIN_MS, startedAt + CONTACT_MS) + MARGIN_MS;
  let violations = 0;
  for (const run of leaving!.runs) {
    if (run.at < judgedFrom) continue;
    violations += 1;
    record.write('DRAIN', {
      request: run.id, afterAcknowledgementMs: Math.round(run.at - acknowledgedAt),
    });
  }
  const ran = new Set(leaving!.runs.map(({ id }) => id));
  const unanswered = answers.filter(({ id, status }) => status !== 200 && ran.has(id)).length;
  record.write('summary', {
    sent: answers.length, served, violations, ranWithoutAnswer: unanswered,
  });
  if (served < answers.length / 2) throw new Error(`only ${served} requests were served`);
  return violations;
});
