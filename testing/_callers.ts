import { createHash } from 'node:crypto';
import type { AnswerSink } from '../forward/mod.ts';
import type { PlantedFaults } from './_control_parts.ts';
import { bodyFor, TRACE_HEADERS } from './_fake_upstream.ts';
import type { HistoryCluster as Cluster } from './_history_cluster.ts';
import { SERVICE } from './_history_process.ts';

const CUSTOMER = 'acme';
const TOKEN = 'token-of-acme';
const SLOT_COUNT = 16;
const KEY_COUNT = 32;
/** One in so many requests goes to the first key. */
const HOT_ONE_IN = 8;
const REPEAT_DELAY_MS = 150;

/** Keys of the requests. */
export const KEYS = Array.from({ length: KEY_COUNT }, (_, index) => `k${index}`);

/** A contract that differs by its share. */
export const contractWith = (share: number, checksGrants: boolean) => JSON.stringify({
  customer: CUSTOMER,
  tokenHashes: [createHash('sha256').update(TOKEN).digest('hex')],
  share,
  limits: { requestsPerSecond: 1000, concurrency: 100 },
  services: [{
    name: SERVICE, keyed: true, slotCount: SLOT_COUNT, checksGrants, refusalStatuses: [409],
  }],
  routes: [
    {
      name: 'lookup',
      host: '*',
      path: '/items/:key',
      methods: ['GET'],
      service: SERVICE,
      class: 'lookup',
      key: { from: 'path', name: 'key' },
      deadlineMs: 1500,
      retries: 2,
    },
    {
      name: 'submission',
      host: '*',
      path: '/items/:key',
      methods: ['POST'],
      service: SERVICE,
      class: 'submission',
      key: { from: 'path', name: 'key' },
      deadlineMs: 2500,
    },
  ],
});

/** A caller and the operators of a run. */
export interface Caller {
  readonly cluster: Cluster;
  readonly below: (limit: number) => number;
  readonly planted: PlantedFaults;
  /** Returns a new number. */
  readonly next: () => number;
}

interface CallerRequest {
  readonly submission: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
}

/** Sends one request through an ingress node; returns whether the caller may repeat it. */
const sendRequest = async (caller: Caller, node: string, sent: CallerRequest): Promise<boolean> => {
  const { cluster } = caller;
  const process = cluster.at(node);
  const { submission, key, method } = sent;
  const { record } = cluster;
  const request = `r${caller.next()}`;
  const compiled = process.contracts.compiled();
  const contract = compiled.findCustomer(TOKEN);
  const path = `/items/${key}`;
  const match = contract && compiled.findRoute(contract, { host: 'a', path, method });
  if (contract === undefined || match === undefined || !process.isOpen()) return true;
  const requestClass = match.route.class;
  record('request', {
    request,
    node,
    process: process.incarnation,
    key,
    requestClass,
    expectedBody: bodyFor(submission, key),
  });
  const chunks: Buffer[] = [];
  let ended = false;
  const sink: AnswerSink = {
    start: () => 'deliver',
    write: (chunk) => chunks.push(chunk) > 0,
    onDrain: () => undefined,
    end: () => {
      ended = true;
    },
  };
  const end = await process.run({
    requestId: request,
    customer: CUSTOMER,
    share: contract.share,
    requestClass,
    service: SERVICE,
    key,
    deadlineAt: process.clock.now() + match.route.deadlineMs,
    method,
    path,
    headers: [TRACE_HEADERS.submission, submission, TRACE_HEADERS.key, key],
    body: null,
    signal: new AbortController().signal,
    contract,
    match,
  }, sink);
  if (end.kind === 'refused') {
    const { outcome, message } = end.refusal;
    record('refusal', {
      request, attempt: undefined, outcome, reason: message,
    });
    return outcome === 'not run';
  }
  record('answer', {
    request, body: Buffer.concat(chunks).toString(), whole: ended && end.kind === 'answered',
  });
  return false;
};

/** One call of a caller: a submission is sent again only after a refusal that says `not run`. */
export const call = async (caller: Caller) => {
  const { cluster, below, planted } = caller;
  const running = cluster.running();
  if (running.length === 0) return;
  const anyNode = () => running[below(running.length)]!.node;
  const method = below(5) < 2 ? 'POST' : 'GET';
  const key = below(HOT_ONE_IN) === 0 ? KEYS[0]! : KEYS[below(KEYS.length)]!;
  const sent: CallerRequest = { submission: `s${caller.next()}`, key, method };
  const mayRepeat = await sendRequest(caller, anyNode(), sent);
  if (method === 'GET' || !(mayRepeat || planted.repeatsSubmissions)) return;
  await cluster.base.sleep(REPEAT_DELAY_MS);
  const node = anyNode();
  if (cluster.isRunning(node)) await sendRequest(caller, node, sent);
};

/** Applies a contract through a node. */
export const apply = async (cluster: Cluster, node: string, base: number, text: string) => {
  const applied = await cluster.at(node).contracts.apply(text, base, CUSTOMER);
  if (applied.isErr()) return;
  const { revision } = applied.value;
  cluster.record('contract acknowledged', { node, customer: CUSTOMER, revision });
};

/** Two operators change the contract over the same base revision at the same time. */
export const operate = (caller: Caller, checksGrants: boolean) => {
  const { cluster, below } = caller;
  const running = cluster.running();
  const first = running[below(running.length)];
  const second = running[below(running.length)];
  if (first === undefined || second === undefined) return;
  const revision = first.contracts.find(CUSTOMER)?.revision;
  if (revision === undefined) return;
  for (const { node } of [first, second]) {
    apply(cluster, node, revision, contractWith(1 + below(900), checksGrants));
  }
};
