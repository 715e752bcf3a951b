import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Pool } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { CONTRACT_KEY, platformHeaders } from '../platform/mod.ts';
import { startPlatformInstance } from '../standins/platform_instance.ts';
import { startPlatformStore } from '../standins/platform_store.ts';
import { CODE_CACHE, loadBundle } from './load_bundle.ts';

const SERVICES = ['ledger', 'orders'];
const LISTEN_PORTS = [7001, 7002, 7003, 7004];
const MAX_SUBNET = 250;
const START_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const ROUNDS = 100;
const SLOTS = 6;
const STATUS_OK = 200;
const clock = createSystemClock();

const route = (name: string, routeType: string, fields: object) => ({
  resource_type: 'routes',
  metadata: { name },
  spec: {
    host: 'shop.example',
    prefix: `/${name}/`,
    route_type: routeType,
    timeout: '1000ms',
    target_latency: '300ms',
    priority: 1,
    max_attempts: 2,
    ...fields,
  },
});

const contract = JSON.stringify({
  version: 1,
  resources: [
    route('reads', 'safe', { service: 'orders' }),
    route('writes', 'unsafe', { service: 'orders' }),
    route('files', 'download', { service: 'orders' }),
    route('keyed', 'safe', { service: 'ledger' }),
    { resource_type: 'services', metadata: { name: 'ledger' }, spec: { sharded: true } },
    { resource_type: 'services', metadata: { name: 'orders' }, spec: {} },
  ],
});

interface RequestOptions {
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

const served: readonly RequestOptions[] = [
  { path: '/reads/1', method: 'GET' },
  { path: '/writes/1', method: 'POST', body: 'body' },
  { path: '/files/1', method: 'GET' },
  { path: '/keyed/1', method: 'GET', headers: { [platformHeaders.key]: '1' } },
];
const absent: RequestOptions = { path: '/absent/1', method: 'GET' };

const createSettings = (index: number, host: string, storeAddress: string) => {
  const [caller, peer, readiness, announcements] = LISTEN_PORTS.map((port) => `${host}:${port}`);
  return JSON.stringify({
    node: `host-${index}`,
    region: 'r',
    failureDomain: `d${index}`,
    service: SERVICES[index],
    announceInterval: '200ms',
    bounds: { drain: '2s', grace: '6s' },
    listen: {
      caller, peer, readiness, announcements,
    },
    store: { address: storeAddress, writesPerSecond: 400, readsPerSecond: 2000 },
  });
};

const sendRequests = async (origin: string) => {
  const pool = new Pool(origin);
  const send = async ({ body, ...options }: RequestOptions, id: string) => {
    const { statusCode, body: responseBody } = await pool.request({
      ...options,
      body: body ?? null,
      headers: {
        host: 'shop.example',
        [platformHeaders.requestId]: id,
        [platformHeaders.remainingMs]: '1000',
        ...options.headers,
      },
    });
    await responseBody.dump();
    return statusCode;
  };
  const limit = clock.now() + START_LIMIT_MS;
  for (const [index, options] of served.entries()) {
    const attempt = () => send(options, `start-${index}-${clock.now()}`).catch(() => undefined);
    while (await attempt() !== STATUS_OK) {
      if (clock.now() > limit) throw new Error('timed out waiting for the nodes to serve');
      await clock.sleep(POLL_INTERVAL_MS);
    }
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    await Promise.all([...served, absent].map((options, index) => (
      send(options, `r-${round}-${index}`)
    )));
  }
  await pool.close();
};

/** Runs two nodes in this process and sends requests through both, so that V8 compiles the code. */
const main = async () => {
  const bundle = loadBundle(__dirname);
  const store = await startPlatformStore(clock);
  await store.store.transact({
    expect: [{ key: CONTRACT_KEY, revision: 0 }], puts: [{ key: CONTRACT_KEY, value: contract }],
  });
  const directory = mkdtempSync(join(tmpdir(), 'warm-up-'));
  // Every host has a loopback address of its own, which differs between processes.
  const { pid } = process;
  const subnet = [1 + (pid % MAX_SUBNET), Math.floor(pid / MAX_SUBNET) % MAX_SUBNET];
  const hosts = SERVICES.map((_, index) => `127.${subnet.join('.')}.${index + 1}`);
  for (const [index, host] of hosts.entries()) {
    const path = join(directory, `${index}.json`);
    writeFileSync(path, createSettings(index, host, store.address));
    process.env.MARJORAMHOLLOW_CONFIG = path;
    // The bundle reads the settings while it is evaluated.
    bundle.run(require);
  }
  rmSync(directory, { recursive: true });
  const instances = await Promise.all(SERVICES.map((service, index) => startPlatformInstance({
    service, announceAddress: `${hosts[index]}:${LISTEN_PORTS[3]}`, slots: SLOTS,
  })));
  await sendRequests(`http://${hosts[0]}:${LISTEN_PORTS[0]}`);
  for (const { kill } of instances) kill();
  writeFileSync(join(__dirname, CODE_CACHE), bundle.createCodeCache());
};

main().then(() => process.exit(0), (error: unknown) => {
  process.stderr.write(`warm-up: ${String(error)}\n`);
  process.exit(1);
});
