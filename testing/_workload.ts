import { createHash } from 'node:crypto';
import type { ResponseSink } from '../forward/mod.ts';
import type { InjectedDefects } from './_control_plane.ts';
import { createExpectedBody, TRACE_HEADERS } from './_fake_upstream.ts';
import type { SimulatedCluster as Cluster } from './_simulated_cluster.ts';
import { SERVICE } from './_simulated_process.ts';

const CUSTOMER = 'acme';
const TOKEN = 'token-of-acme';
const SLOT_COUNT = 16;
const KEY_COUNT = 32;
/** One in this many requests is for the first key. */
const HOT_KEY_ONE_IN = 8;
const RETRY_DELAY_MS = 150;

/** Keys that the requests use. */
export const KEYS = Array.from({ length: KEY_COUNT }, (_, index) => `k${index}`);

/** Returns the text of a contract; contracts differ only in these two values. */
export const createContractText = (share: number, checksGrants: boolean) => JSON.stringify({
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

/** State that callers and operators of a simulation share. */
export interface WorkloadContext {
  readonly cluster: Cluster;
  readonly randomBelow: (limit: number) => number;
  readonly defects: InjectedDefects;
  /** Returns the next number of a sequence, for unique names. */
  readonly nextNumber: () => number;
}

interface CallerRequest {
  readonly submission: string;
  readonly key: string;
  readonly method: 'GET' | 'POST';
}

/** Sends one request through an ingress node; returns whether the caller may retry it. */
const sendRequest = async (
  context: WorkloadContext,
  node: string,
  callerRequest: CallerRequest,
): Promise<boolean> => {
  const { cluster } = context;
  const process = cluster.at(node);
  const { submission, key, method } = callerRequest;
  const { record } = cluster;
  const request = `r${context.nextNumber()}`;
  const compiled = process.contracts.compiled();
  const contract = compiled.findContract(TOKEN);
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
    expectedBody: createExpectedBody(submission, key),
  });
  const chunks: Buffer[] = [];
  let ended = false;
  const sink: ResponseSink = {
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

/** Sends a caller's request; a submission is retried only after a refusal as `not run`. */
export const sendCallerRequest = async (context: WorkloadContext) => {
  const { cluster, randomBelow, defects } = context;
  const running = cluster.running();
  if (running.length === 0) return;
  const anyNode = () => running[randomBelow(running.length)]!.node;
  const method = randomBelow(5) < 2 ? 'POST' : 'GET';
  const key = randomBelow(HOT_KEY_ONE_IN) === 0 ? KEYS[0]! : KEYS[randomBelow(KEYS.length)]!;
  const callerRequest: CallerRequest = { submission: `s${context.nextNumber()}`, key, method };
  const mayRetry = await sendRequest(context, anyNode(), callerRequest);
  if (method === 'GET' || !(mayRetry || defects.retriesAllSubmissions)) return;
  await cluster.baseClock.sleep(RETRY_DELAY_MS);
  const node = anyNode();
  if (cluster.isRunning(node)) await sendRequest(context, node, callerRequest);
};

/** Applies a contract through a node and records the acknowledgement, if there is one. */
export const applyContract = async (
  cluster: Cluster,
  node: string,
  baseRevision: number,
  text: string,
) => {
  const applied = await cluster.at(node).contracts.apply(text, baseRevision, CUSTOMER);
  if (applied.isErr()) return;
  const { revision } = applied.value;
  cluster.record('contract acknowledged', { node, customer: CUSTOMER, revision });
};

/** Applies two contracts with the same base revision at the same time, as two operators. */
export const applyConcurrentContracts = (context: WorkloadContext, checksGrants: boolean) => {
  const { cluster, randomBelow } = context;
  const running = cluster.running();
  const first = running[randomBelow(running.length)];
  const second = running[randomBelow(running.length)];
  if (first === undefined || second === undefined) return;
  const revision = first.contracts.find(CUSTOMER)?.revision;
  if (revision === undefined) return;
  for (const { node } of [first, second]) {
    applyContract(cluster, node, revision, createContractText(1 + randomBelow(900), checksGrants));
  }
};
