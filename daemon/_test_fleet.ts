import { createHash } from 'node:crypto';
import { rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { type Dispatcher, request } from 'undici';
import { createSystemClock } from '../clock/mod.ts';
import { main } from '../command/mod.ts';
import {
  type Fleet, fleetCredentials, type FleetHost, type FleetHostPlan, type FleetOptions, startFleet,
} from '../standins/mod.ts';

export const clock = createSystemClock();

/** Maximum time in ms that `waitUntil` waits. */
const WAIT_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 10;
const FAILURE_DOMAINS = ['a', 'b', 'c'];

/** Caller tokens by customer. */
export const callerTokens = { mesh: 'mesh-caller-token', narrow: 'narrow-caller-token' } as const;
export type Customer = keyof typeof callerTokens;

const services = [
  {
    name: 'ledger', keyed: true, slotCount: 64, checksGrants: true, refusalStatuses: [409, 503],
  },
  { name: 'archive', keyed: false, refusalStatuses: [503] },
  { name: 'absent', keyed: false },
];

const route = (name: string, methods: readonly string[], path: string, more: object) => ({
  name, host: '*', path, methods, deadlineMs: 5000, ...more,
});

const ledgerRoute = { service: 'ledger', key: { from: 'path', name: 'key' } };

export const contractOf = (customer: Customer, share = 1) => ({
  customer,
  tokenHashes: [createHash('sha256').update(callerTokens[customer]).digest('hex')],
  share,
  limits: customer === 'narrow'
    ? { requestsPerSecond: 1, concurrency: 10 }
    : { requestsPerSecond: 5000, concurrency: 1000 },
  services,
  routes: [
    route('state', ['GET'], '/state/:id', { service: 'archive', class: 'check', retries: 1 }),
    route('entry', ['GET'], '/entries/:key', { ...ledgerRoute, class: 'lookup', retries: 2 }),
    route('record', ['POST'], '/entries/:key', {
      ...ledgerRoute, class: 'submission', maxBodyBytes: 100,
    }),
    route('map', ['GET'], '/maps/*', { service: 'archive', class: 'bulk' }),
    route('absent', ['GET'], '/absent', { service: 'absent', class: 'lookup', deadlineMs: 300 }),
  ],
});

/** Plans a host of the test fleet with an instance of `service`. */
export const planHost = (number: number, service: 'ledger' | 'archive'): FleetHostPlan => ({
  node: `n${number}`,
  region: 'r',
  failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length]!,
  instance: `${service}-${number}`,
  service,
  slots: 20,
  connections: 40,
  behaviour: { checksGrants: service === 'ledger' },
});

/** Polls `check` until it returns true, and throws after `WAIT_TIMEOUT_MS`. */
export const waitUntil = async (condition: string, check: () => boolean | Promise<boolean>) => {
  const endAt = clock.now() + WAIT_TIMEOUT_MS;
  while (!await check()) {
    if (clock.now() > endAt) throw new Error(`timed out: ${condition}`);
    await clock.sleep(POLL_INTERVAL_MS);
  }
};

export const tlsFiles = (name: string) => {
  const fileOf = (file: string) => (
    fileURLToPath(new URL(`../peer/testdata/${file}`, import.meta.url))
  );
  return {
    keyFile: fileOf(`${name}_key.pem`),
    certificateFile: fileOf(`${name}.pem`),
    authorityFile: fileOf('authority.pem'),
  };
};

export interface SendOptions {
  readonly method?: 'GET' | 'POST';
  readonly token?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly dispatcher?: Dispatcher;
}

/** Sends a request to the caller listener of a node and reads the whole response. */
export const send = async (host: FleetHost, path: string, options: SendOptions = {}) => {
  const response = await request(`http://${host.node.addresses.caller}${path}`, {
    method: options.method ?? 'GET',
    headers: { authorization: `Bearer ${options.token ?? callerTokens.mesh}`, ...options.headers },
    body: options.body ?? null,
    dispatcher: options.dispatcher,
  });
  const text = await response.body.text();
  const isJson = String(response.headers['content-type']).includes('json');
  const json = (isJson ? JSON.parse(text) : {}) as Readonly<Record<string, string>>;
  return {
    status: response.statusCode, headers: response.headers, text, json,
  };
};

export type TestResponse = Awaited<ReturnType<typeof send>>;

/** Runs the command-line client against a node. */
export const runCommand = async (host: FleetHost, args: readonly string[], scheme = 'http') => {
  const out: string[] = [];
  const errors: string[] = [];
  process.env.MARJORAMHOLLOW_OPERATOR_CREDENTIAL = fleetCredentials.operator;
  const status = await main(
    [...args, '--operator', `${scheme}://${host.node.addresses.operator}`],
    { print: (text) => out.push(text), error: (text) => errors.push(text) },
  );
  return { status, out: out.join('\n'), error: errors.join('\n') };
};

let fileCount = 0;

/** Calls `use` with the path of a temporary file that has `value` as text or JSON. */
export const withFile = async <T>(value: unknown, use: (file: string) => Promise<T>) => {
  fileCount += 1;
  const file = join(tmpdir(), `marjoramhollow-test-${process.pid}-${fileCount}.json`);
  writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
  try {
    return await use(file);
  } finally {
    rmSync(file);
  }
};

export const applyContract = (
  host: FleetHost,
  contract: object,
  revision: number,
  more: readonly string[] = [],
  scheme = 'http',
) => withFile(contract, (file) => (
  runCommand(host, ['contract', 'apply', file, '--revision', String(revision), ...more], scheme)
));

/** Returns the contract and placement revisions on a node as one sorted string. */
export const versionsOf = (host: FleetHost): string => host.node.status().versions
  .map(({ key, revision }) => `${key}@${revision}`).sort().join(' ');

/** Starts a fleet and waits until all nodes have the contracts and owners serve every key. */
export const startTestFleet = async (
  plans: readonly FleetHostPlan[],
  options: Partial<FleetOptions> & { readonly operatorArgs?: readonly string[] } = {},
): Promise<Fleet & { readonly logLines: readonly string[] }> => {
  const logLines: string[] = [];
  const logStream = new Writable({
    write: (chunk, _, done) => {
      logLines.push(String(chunk));
      done();
    },
  });
  const fleet = await startFleet(plans, { clock, logStream, ...options });
  const scheme = options.tls === undefined ? 'http' : 'https';
  for (const customer of Object.keys(callerTokens) as Customer[]) {
    const applied = await applyContract(
      fleet.hosts[0]!,
      contractOf(customer),
      0,
      options.operatorArgs,
      scheme,
    );
    if (applied.status !== 0) throw new Error(applied.error);
  }
  const isReady = (host: FleetHost) => {
    const { versions, ownership } = host.node.status();
    return versions.length === 3 && (host.plan.service !== 'ledger'
      || ownership.some(({ leaseValid, slots }) => leaseValid && slots > 0));
  };
  await waitUntil('contracts and owners on all nodes', () => fleet.hosts.every(isReady));
  // Slots still move for a short time after the owners have joined.
  await waitUntil('each key is served', async () => {
    const answers = await Promise.all(['k1', 'k2', 'k3', 'k4', 'k5', 'k6'].map((key, index) => (
      send(fleet.hosts[index % fleet.hosts.length]!, `/entries/${key}`)
    )));
    return answers.every(({ status }) => status === 200);
  });
  return { ...fleet, logLines };
};
