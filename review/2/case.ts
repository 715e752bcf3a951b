import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../../clock/mod.ts';
import { platformHeaders } from '../../platform/mod.ts';
import { startPlatformStore } from '../../standins/platform_store.ts';
import { type Answer, createCaller } from '../caller.ts';
import { publish } from '../contract.ts';
import { findHosts } from '../hosts.ts';
import { startInstance } from '../instance.ts';
import { startNodes } from '../node_process.ts';
import { runCase } from '../record.ts';

const SERVICES = ['ledger', 'archive', 'archive', 'archive'];
const BODY_PARTS = 10;
const PART_BYTES = 9000;
/** Time in ms between two parts of a body: 90 KB in 0.3 s. */
const PART_PAUSE_MS = 30;
const WORK_MS = 60;
const SENDS = 120;
const SEND_PAUSE_MS = 50;
/** Numbers of the sends before which the node of an archive is killed. */
const KILLS: ReadonlySet<number> = new Set([40, 80]);
const DOWN_MS = 500;

/** The whole body of an answer: each part begins with the request and the number of the part. */
const partOf = (id: string, number: number) => Buffer.alloc(PART_BYTES, `${id}/${number} `);
const bodyOf = (id: string) => Buffer.concat(
  Array.from({ length: BODY_PARTS }, (_, number) => partOf(id, number)),
);

/** Answers without a length: the body ends with the connection. */
const answerUnframed = async (id: string, instance: string, response: ServerResponse) => {
  await sleep(WORK_MS);
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    [platformHeaders.requestId]: id, [platformHeaders.signature]: `${instance}.${id}`,
  });
  for (let number = 0; number < BODY_PARTS && !response.destroyed; number += 1) {
    response.write(partOf(id, number));
    await sleep(PART_PAUSE_MS);
  }
  response.end();
};

runCase('unframed answers, a killed node', async (record, isTroubled, stopLater) => {
  const hosts = await findHosts(SERVICES);
  const store = await startPlatformStore(createSystemClock());
  await publish(store, 1, [{ prefix: '/maps/', kind: 'download', service: 'archive' }]);
  const nodes = startNodes(hosts, () => store.address, stopLater);
  for (const host of hosts) {
    const instance = await startInstance({
      host,
      record,
      answer: (id, _, response) => {
        answerUnframed(id, host.name, response).catch(() => response.destroy());
      },
    });
    stopLater(instance.stop);
  }
  for (const node of nodes) await node.ready();
  const [callerHost] = hosts;
  // The archive in the failure domain of the callers, which gets most of their requests.
  const killed = nodes.find(({ host }) => (
    host !== callerHost && host.zone === callerHost?.zone
  ));
  const caller = createCaller(callerHost!, record);
  stopLater(caller.close);
  // The entries of all nodes reach the node of the callers.
  await sleep(2000);

  const answers: Promise<Answer>[] = [];
  for (let number = 0; number < SENDS; number += 1) {
    if (isTroubled && KILLS.has(number)) {
      record.write('killed', { node: killed!.host.name });
      killed!.signal('SIGKILL');
      killed!.ended().then(() => sleep(DOWN_MS)).then(() => {
        record.write('restarted', { node: killed!.host.name });
        killed!.start();
      }).catch(() => undefined);
    }
    answers.push(caller.send(`/maps/${number}`));
    await sleep(SEND_PAUSE_MS);
  }

  let violations = 0;
  let served = 0;
  for (const answer of await Promise.all(answers)) {
    if (answer.status !== 200 || !answer.isComplete) continue;
    const whole = bodyOf(answer.id);
    if (answer.isSigned && answer.body.equals(whole)) {
      served += 1;
      continue;
    }
    violations += 1;
    record.write('MIXED', {
      request: answer.id, bytes: answer.body.length, whole: whole.length,
    });
  }
  record.write('summary', { sent: SENDS, served, violations });
  if (served < SENDS / 2) throw new Error(`only ${served} of ${SENDS} requests were served`);
  return violations;
});
