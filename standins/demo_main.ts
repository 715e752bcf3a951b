import { createWriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { request } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { demoHosts, demoPlan, type DemoRequest } from './demo_plan.ts';
import {
  type Fleet, fleetCredentials, type FleetHost, startFleet,
} from './fleet.ts';

const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 20;
const TAKEOVER_TIMEOUT_MS = 5000;
const LOAD_ROUNDS = 20;

const clock = createSystemClock();

const { values } = parseArgs({
  options: {
    serve: { type: 'boolean', default: false },
    log: { type: 'string' },
  },
});

const lookupRequest: DemoRequest = { ...demoPlan.loss, class: 'lookup', method: 'GET' };

interface DemoResponse {
  readonly status: number;
  readonly bytes: number;
  readonly instance: string | undefined;
}

const callerTokenOf = (customer: string) => demoPlan.customers
  .find((entry) => entry.customer === customer)?.token ?? '';

const send = async (
  host: FleetHost,
  template: DemoRequest,
  requestNumber: number,
): Promise<DemoResponse> => {
  const path = template.path.replace('{number}', String(requestNumber));
  const response = await request(`http://${host.node.addresses.caller}${path}`, {
    method: template.method,
    headers: {
      authorization: `Bearer ${callerTokenOf(template.customer)}`,
      ...(template.bodyBytes === undefined ? {} : { 'x-body-bytes': String(template.bodyBytes) }),
    },
  });
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response.body) {
    bytes += (chunk as Buffer).length;
    if (chunks.length === 0) chunks.push(chunk as Buffer);
  }
  const firstChunk = chunks[0]?.toString('utf8') ?? '';
  const instance = /"instance":"([^"]+)"/u.exec(firstChunk)?.[1];
  return { status: response.statusCode, bytes, instance };
};

const roundRobinHost = (fleet: Fleet, requestNumber: number): FleetHost => (
  fleet.hosts[requestNumber % fleet.hosts.length]!
);

const waitUntil = async (condition: string, isDone: () => boolean) => {
  const deadlineAt = clock.now() + READY_TIMEOUT_MS;
  while (!isDone()) {
    if (clock.now() > deadlineAt) throw new Error(`timed out waiting for ${condition}`);
    await clock.sleep(POLL_INTERVAL_MS);
  }
};

const applyContracts = async (fleet: Fleet) => {
  for (const { customer } of demoPlan.customers) {
    const file = new URL(`../samples/contracts/${customer}.json`, import.meta.url);
    const [host] = fleet.hosts;
    const response = await request(
      `http://${host!.node.addresses.operator}/v1/contracts/${customer}?revision=0`,
      {
        method: 'PUT',
        headers: { authorization: `Bearer ${fleetCredentials.operator}` },
        body: await readFile(file, 'utf8'),
      },
    );
    const text = await response.body.text();
    if (response.statusCode !== 200) throw new Error(`contract of ${customer}: ${text}`);
  }
};

const contractRevisionsOf = (host: FleetHost): string => host.node.status().versions
  .filter(({ key }) => key.startsWith('contracts/'))
  .map(({ key, revision }) => `${key.slice('contracts/'.length)}@${revision}`)
  .join(' ');

const hasAllContracts = (host: FleetHost) => (
  host.node.status().versions.filter(({ key }) => key.startsWith('contracts/')).length
  === demoPlan.customers.length
);

const ownersAreReady = (fleet: Fleet) => demoPlan.keyedServices.every((service) => {
  const activeOwners = fleet.hosts
    .flatMap((host) => host.node.status().ownership)
    .filter((status) => status.service === service && status.leaseValid && status.slots > 0);
  const expectedOwnerCount = fleet.hosts.filter((host) => host.plan.service === service).length;
  return activeOwners.length === expectedOwnerCount;
});

const findKeyOwners = async (fleet: Fleet): Promise<ReadonlyMap<number, string>> => {
  const owners = new Map<number, string>();
  for (let key = 1; key <= demoPlan.loss.keys; key += 1) {
    const response = await send(roundRobinHost(fleet, key), lookupRequest, key);
    owners.set(key, response.instance ?? `status ${response.status}`);
  }
  return owners;
};

const runLoad = async (fleet: Fleet): Promise<ReadonlyMap<string, readonly DemoResponse[]>> => {
  const responses = new Map<string, DemoResponse[]>();
  const sendOne = async (template: DemoRequest, round: number) => {
    const host = roundRobinHost(fleet, round);
    const label = `${template.customer} ${template.class}`;
    const list = responses.get(label) ?? [];
    responses.set(label, list);
    list.push(await send(host, template, round));
  };
  for (let round = 0; round < LOAD_ROUNDS; round += 1) {
    await Promise.all(demoPlan.requests.map((sample) => sendOne(sample, round)));
  }
  return responses;
};

/** Kills the owner of a key; returns the time in ms until a request for the key succeeds. */
const measureTakeover = async (
  fleet: Fleet,
  key: number,
  instance: string,
): Promise<number> => {
  const owner = fleet.hosts.find((host) => host.plan.instance === instance);
  if (owner === undefined) throw new Error(`no host runs instance ${instance}`);
  const killedAt = clock.now();
  await owner.kill();
  for (let attempt = 0; clock.now() - killedAt < TAKEOVER_TIMEOUT_MS; attempt += 1) {
    const response = await send(roundRobinHost(fleet, attempt), lookupRequest, key);
    if (response.status === 200) return clock.now() - killedAt;
    await clock.sleep(POLL_INTERVAL_MS);
  }
  return Number.POSITIVE_INFINITY;
};

const lookupPath = (key: number) => demoPlan.loss.path.replace('{number}', String(key));

const printResponses = (responses: ReadonlyMap<string, readonly DemoResponse[]>) => {
  console.log('\nsuccessful requests');
  for (const [label, list] of responses) {
    const succeeded = list.filter(({ status }) => status === 200).length;
    const bytes = list.reduce((sum, response) => sum + response.bytes, 0);
    console.log(`  ${label.padEnd(22)} ${succeeded} of ${list.length}, ${bytes} bytes`);
  }
};

const runDemonstration = async (fleet: Fleet) => {
  const responses = await runLoad(fleet);
  printResponses(responses);
  const ownersBefore = await findKeyOwners(fleet);
  const [key, instance] = [...ownersBefore][0]!;
  const unavailableMs = await measureTakeover(fleet, key, instance);
  const ownersAfter = await findKeyOwners(fleet);
  console.log(`\nowners of sample keys before and after ${instance} is killed`);
  for (const [sampleKey, owner] of ownersBefore) {
    const ownerColumns = `${owner.padEnd(16)} ${ownersAfter.get(sampleKey) ?? ''}`;
    console.log(`  ${lookupPath(sampleKey).padEnd(10)} ${ownerColumns}`);
  }
  console.log(`\ntime until the key was served again: ${Math.round(unavailableMs)} ms`);
  console.log('\ncontract revisions in force');
  for (const host of fleet.hosts) {
    console.log(`  ${host.plan.node.padEnd(16)} ${contractRevisionsOf(host)}`);
  }
  const failed = [...responses.values()].flat().filter(({ status }) => status !== 200).length;
  return failed === 0 && Number.isFinite(unavailableMs);
};

const serveUntilStopped = async (fleet: Fleet) => {
  console.log('\naddresses (caller, operator)');
  for (const host of fleet.hosts) {
    const { caller, operator } = host.node.addresses;
    console.log(`  ${host.plan.node.padEnd(16)} http://${caller}  http://${operator}`);
  }
  const { caller } = fleet.hosts[0]!.node.addresses;
  const token = callerTokenOf(demoPlan.loss.customer);
  console.log(`\ncurl -H 'authorization: Bearer ${token}' http://${caller}${lookupPath(1)}`);
  console.log(`operator credential: ${fleetCredentials.operator}`);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
};

const logStream = createWriteStream(values.log ?? '/dev/null');
const fleet = await startFleet(demoHosts, { clock, logStream });
try {
  await applyContracts(fleet);
  await waitUntil('contracts in force on all nodes', () => fleet.hosts.every(hasAllContracts));
  await waitUntil('owners of all keyed services', () => ownersAreReady(fleet));
  console.log(`${fleet.hosts.length} nodes are ready`);
  const succeeded = await runDemonstration(fleet);
  if (values.serve) await serveUntilStopped(fleet);
  process.exitCode = succeeded ? 0 : 1;
} finally {
  await fleet.stop();
}
process.exit();
