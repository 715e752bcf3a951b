import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../../clock/mod.ts';
import { startPlatformStore } from '../../standins/platform_store.ts';
import { createCaller } from '../caller.ts';
import { publish } from '../contract.ts';
import { findHosts } from '../hosts.ts';
import { startInstance } from '../instance.ts';
import { startNodes } from '../node_process.ts';
import { runCase } from '../record.ts';
import { startStoreProxy } from '../store_proxy.ts';

/** Ten hosts, so that one is a tenth. */
const SERVICES = Array.from({ length: 10 }, (_, index) => (index % 2 === 0 ? 'orders' : 'archive'));
const CALLER_HOSTS = 4;
/** Largest share of the connections of a machine that may be lost at once. */
const MAX_SILENT_SHARE = 0.5;
const MIN_WAIT_MS = 1200;
const CONTACT_MS = 3000;
const CONFIG_APPLY_MS = 2000;
/** Added to each of these spans, so that the requests are judged well after them. */
const MARGIN_MS = 200;
const SEND_PAUSE_MS = 50;
const JUDGED_MS = 8000;

runCase('waiting connections to the store go silent', async (record, isTroubled, stopLater) => {
  const hosts = await findHosts(SERVICES);
  const store = await startPlatformStore(createSystemClock());
  const [target] = hosts;
  const proxy = await startStoreProxy(target!.ip, store.address);
  stopLater(proxy.close);
  const nodes = startNodes(
    hosts,
    (host) => (host === target ? proxy.address : store.address),
    stopLater,
  );
  await publish(store, 1, [{ prefix: '/items/', kind: 'safe', service: 'archive' }]);
  for (const host of hosts) {
    const instance = await startInstance({ host, record });
    stopLater(instance.stop);
  }
  for (const node of nodes) await node.ready();
  await sleep(4000);
  const callers = hosts.slice(0, CALLER_HOSTS).map((host) => createCaller(host, record));
  for (const caller of callers) stopLater(caller.close);

  await publish(store, 2, [
    { prefix: '/items/', kind: 'safe', service: 'archive' },
    { prefix: '/orders/', kind: 'safe', service: 'orders' },
  ]);
  record.write('acknowledged', { version: 2 });
  await sleep(1500);
  if (isTroubled) {
    const { silent, open } = proxy.silence(MIN_WAIT_MS);
    record.write('silenced', { host: target!.name, silent, open });
    if (silent > open * MAX_SILENT_SHARE) {
      throw new Error(`${silent} of ${open} connections would be silent`);
    }
  }
  await sleep(CONTACT_MS + MARGIN_MS);
  // The route moves to another service.
  await publish(store, 3, [
    { prefix: '/items/', kind: 'safe', service: 'orders' },
    { prefix: '/orders/', kind: 'safe', service: 'orders' },
  ]);
  const acknowledgedAt = performance.now();
  record.write('acknowledged', { version: 3 });
  await sleep(CONFIG_APPLY_MS + MARGIN_MS);

  let violations = 0;
  let served = 0;
  const judgedUntil = performance.now() + JUDGED_MS;
  while (performance.now() < judgedUntil) {
    for (const [index, caller] of callers.entries()) {
      const answer = await caller.send('/items/1');
      if (answer.status !== 200) continue;
      served += 1;
      const { service } = JSON.parse(answer.body.toString()) as { service: string };
      if (service === 'orders') continue;
      violations += 1;
      record.write('CONFIG', {
        request: answer.id,
        host: hosts[index]!.name,
        service,
        afterAcknowledgementMs: Math.round(answer.sentAt - acknowledgedAt),
      });
    }
    await sleep(SEND_PAUSE_MS);
  }
  record.write('summary', { served, violations });
  if (served === 0) throw new Error('no request was served');
  return violations;
});
