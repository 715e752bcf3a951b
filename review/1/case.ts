import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../../clock/mod.ts';
import { startPlatformStore } from '../../standins/platform_store.ts';
import { createCaller } from '../caller.ts';
import { publish } from '../contract.ts';
import { findOverlaps } from '../held_keys.ts';
import { findHosts } from '../hosts.ts';
import { callNode, type Instance, startInstance } from '../instance.ts';
import { ports, startNodes } from '../node_process.ts';
import { runCase } from '../record.ts';

const SERVICES = ['ledger', 'ledger', 'ledger', 'orders'];
const KEY_COUNT = 65_536;
const SETTLE_MS = 9000;
const JUDGED_MS = 12_000;
const SEND_PAUSE_MS = 40;
/** Longest time in ms for which two instances may hold the same keys. */
const MAX_OVERLAP_MS = 500;

runCase('a report of another writer', async (record, isTroubled, stopLater) => {
  const hosts = await findHosts(SERVICES);
  const store = await startPlatformStore(createSystemClock());
  await publish(store, 1, [
    {
      prefix: '/turns/', kind: 'safe', service: 'ledger', isKeyed: true,
    },
    { prefix: '/orders/', kind: 'unsafe', service: 'orders' },
  ]);
  const nodes = startNodes(hosts, () => store.address, stopLater);
  const instances: Instance[] = [];
  for (const host of hosts) {
    const instance = await startInstance({ host, record, isKeyed: host.service === 'ledger' });
    stopLater(instance.stop);
    instances.push(instance);
  }
  for (const node of nodes) await node.ready();
  const callers = hosts.map((host) => createCaller(host, record));
  for (const caller of callers) stopLater(caller.close);
  await sleep(SETTLE_MS);

  const [target] = hosts;
  if (isTroubled) {
    const isAcknowledged = await callNode(target!, '/instances/odd-1/heartbeat', {
      address: `${target!.ip}:${ports.instance}`,
      born: Date.now(),
      info: {
        service: 'not-named', version: 'v1', zone: target!.zone, slots: 1,
      },
      status: { state: 'ready', sequence: 1, cold_remaining: '0ms' },
    }) !== undefined;
    record.write('odd report', { host: target!.name, acknowledged: isAcknowledged });
  }
  const judgedUntil = performance.now() + JUDGED_MS;
  let served = 0;
  let sent = 0;
  while (performance.now() < judgedUntil) {
    const caller = callers[sent % callers.length]!;
    const key = Math.floor(Math.random() * KEY_COUNT);
    sent += 1;
    const answer = await caller.send('/turns/1', { key });
    if (answer.status === 200) served += 1;
    await sleep(SEND_PAUSE_MS);
  }

  let violations = 0;
  for (const [index, one] of instances.entries()) {
    for (const other of instances.slice(index + 1)) {
      for (const overlap of findOverlaps(one.holds(), other.holds(), performance.now())) {
        if (overlap.ms <= MAX_OVERLAP_MS) continue;
        violations += 1;
        record.write('OWNER', {
          instances: [one.id, other.id],
          keys: overlap.keys,
          epochs: overlap.epochs,
          overlapMs: Math.round(overlap.ms),
        });
      }
    }
  }
  record.write('summary', { sent, served, violations });
  if (served < sent / 3) throw new Error(`only ${served} of ${sent} requests were served`);
  return violations;
});
