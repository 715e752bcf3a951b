import { once } from 'node:events';
import {
  type Agent, createServer, type IncomingMessage, request as httpRequest, type RequestListener,
  type ServerResponse,
} from 'node:http';
import {
  type AddressInfo, connect, type Server, type Socket,
} from 'node:net';
import { createHash } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Admission, PermitOutcome } from '../admission/mod.ts';
import { createSystemClock } from '../clock/mod.ts';
import {
  compileContracts, type Contract, contractSchema, type Route, type ServiceDefinition,
} from '../contract/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import type { TlsMaterial } from '../peer/mod.ts';
import {
  createForwarder, createIdempotencyTable, createRequestLedger, createUpstreamClient,
  type ProgressTimeouts,
} from '../forward/mod.ts';
import type { OwnershipRefusal, Ownership } from '../lease/mod.ts';
import type { AttemptReport, Router, RoutingDecision } from '../routing/mod.ts';
import { noopLogger, noopMetrics } from '../telemetry/mod.ts';
import { createCallerListener, createLocalDispatch, createPeerListener } from './mod.ts';

export const TOKEN = 'caller-token';
export const CREDENTIAL = 'fleet-credential';
/** Upper limit in ms for every wait of a test. */
export const TEST_TIMEOUT_MS = 10_000;

type RouteInput = Partial<Route> & Pick<Route, 'path' | 'class'>;

/** Returns a contract whose routes lead to the service `ledger`. */
export const makeContract = (
  routes: readonly RouteInput[],
  service: Partial<ServiceDefinition> = {},
): Contract => contractSchema.parse({
  customer: 'mesh',
  tokenHashes: [createHash('sha256').update(TOKEN).digest('hex')],
  share: 1,
  limits: { requestsPerSecond: 1000, concurrency: 1000 },
  services: [{
    name: 'ledger', keyed: false, slotCount: 16, ...service,
  }],
  routes: routes.map((route, index) => ({
    name: `r${index}`,
    host: '*',
    methods: ['GET', 'POST', 'PUT', 'HEAD', 'DELETE', 'OPTIONS'],
    service: 'ledger',
    deadlineMs: TEST_TIMEOUT_MS,
    ...route,
  })),
});

export const listen = async (server: Server) => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Polls until `check` returns true; rejects after the time limit. */
export const waitUntil = async (check: () => boolean) => {
  const endAt = performance.now() + TEST_TIMEOUT_MS;
  while (!check()) {
    if (performance.now() > endAt) throw new Error('the condition was not met in time');
    await new Promise((resolve) => {
      setTimeout(resolve, 2);
    });
  }
};

export interface TestNodeOptions {
  readonly contract: Contract;
  readonly progressTimeouts?: ProgressTimeouts;
  readonly connections?: number;
  readonly maxWaiting?: number;
  readonly hedgeDelayMs?: number;
  readonly tls?: TlsMaterial;
}

/** Starts a node with fakes for routing, admission, ownership and customer limits. */
export const startTestNode = async (upstream: string, options: TestNodeOptions) => {
  const clock = createSystemClock();
  const contracts = compileContracts([options.contract]);
  const reports: AttemptReport[] = [];
  const outcomes: PermitOutcome[] = [];
  const state = {
    isCustomerAdmitted: true,
    retryBudget: 100,
    ownershipRefusal: undefined as OwnershipRefusal | undefined,
    token: 7,
    transferredAtMs: undefined as number | undefined,
    leaseExpiry: new AbortController(),
    admissionRefusal: undefined as RefusalError | undefined,
    heldPermits: 0,
    heldSlots: 0,
    decide: (() => ({ kind: 'none', reason: 'nobody', version: 0 })) as Router['decide'],
    waitForChange: async () => false,
  };
  const ownership: Ownership = {
    acquire: (service) => {
      if (state.ownershipRefusal !== undefined) return err(state.ownershipRefusal);
      state.heldPermits += 1;
      return ok({
        service,
        slot: 1,
        token: state.token,
        version: 1,
        transferredAtMs: state.transferredAtMs,
        signal: state.leaseExpiry.signal,
        release: () => {
          state.heldPermits -= 1;
        },
      });
    },
  };
  const admission: Admission = {
    load: () => ({
      inFlight: state.heldSlots, queued: 0, limit: 6, serviceRate: 50,
    }),
    acquire: async () => {
      if (state.admissionRefusal !== undefined) return err(state.admissionRefusal);
      state.heldSlots += 1;
      return ok({
        queuedMs: 0,
        release: (outcome) => {
          state.heldSlots -= 1;
          outcomes.push(outcome);
        },
      });
    },
  };
  const client = createUpstreamClient(upstream, {
    clock, connections: options.connections ?? 6,
  });
  const findUpstream = (instance: string) => (
    instance.startsWith('i') ? { client, admission } : undefined
  );
  const { progressTimeouts, tls } = options;
  const ledger = createRequestLedger({ clock });
  const dispatch = createLocalDispatch({
    clock,
    ownership,
    contracts: () => contracts,
    findUpstream,
    idempotency: createIdempotencyTable({ clock }),
  });
  const peer = createPeerListener({
    clock,
    address: '127.0.0.1:0',
    credential: CREDENTIAL,
    ledger,
    dispatch,
    findUpstream,
    logger: noopLogger,
    progressTimeouts,
    idleGraceMs: 200,
    tls,
  });
  const forwarder = createForwarder({
    clock, credential: CREDENTIAL, progressTimeouts, tls,
  });
  const caller = createCallerListener({
    clock,
    address: '127.0.0.1:0',
    contracts: () => contracts,
    limits: {
      admit: () => (state.isCustomerAdmitted
        ? ok({ release: () => undefined })
        : err(new RefusalError('over the limit', {
          step: 'limits', status: 429, outcome: 'not run', retryAfterSeconds: 2,
        }))),
      stop: () => undefined,
    },
    router: {
      decide: (request) => state.decide(request),
      waitForChange: () => state.waitForChange(),
      report: (report) => {
        reports.push(report);
      },
      hedgeDelayMs: () => options.hedgeDelayMs,
    },
    forwarder,
    dispatch,
    retryBudget: {
      deposit: () => undefined,
      withdraw: () => {
        state.retryBudget -= 1;
        return state.retryBudget >= 0;
      },
    },
    logger: noopLogger,
    metrics: noopMetrics,
    maxWaiting: options.maxWaiting,
    idleGraceMs: 200,
  });
  const peerAddress = await peer.listen();
  const callerAddress = await caller.listen();
  const stop = async () => {
    await Promise.all([caller.stop(), peer.stop()]);
    await Promise.all([client.stop(), forwarder.stop()]);
  };
  return {
    state, reports, outcomes, caller, peer, forwarder, ledger, peerAddress, callerAddress, stop,
  };
};

export type TestNode = Awaited<ReturnType<typeof startTestNode>>;

export const localTarget = (instance = 'i1'): RoutingDecision => ({
  kind: 'local', instance, node: 'n1', peerAddress: '', reason: 'test', version: 1,
});

export const peerTarget = (peerAddress: string, instance = 'i1'): RoutingDecision => ({
  kind: 'peer', instance, node: 'n2', peerAddress, reason: 'test', version: 1,
});

/** Starts an upstream and a node that forwards to it through its own peer listener. */
export const startNodeWithUpstream = async (
  listener: RequestListener,
  options: TestNodeOptions,
) => {
  const upstream = createServer(listener);
  const upstreamAddress = await listen(upstream);
  const node = await startTestNode(upstreamAddress, options);
  node.state.decide = () => peerTarget(node.peerAddress);
  const stop = async () => {
    upstream.closeAllConnections();
    upstream.close();
    await node.stop();
  };
  return {
    ...node, upstream, upstreamAddress, stop,
  };
};

/** Records requests that reach the upstream; the test sends the responses. */
export const createManualUpstream = () => {
  const held: { request: IncomingMessage; response: ServerResponse }[] = [];
  const listener: RequestListener = (request, response) => {
    held.push({ request, response });
  };
  return { held, listener };
};

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Reuses connections between calls; by default each call opens its own. */
  readonly agent?: Agent;
}

/** Sends a request as a caller and resolves when the head of the response has arrived. */
export const open = async (address: string, path: string, options: CallOptions = {}) => {
  const request = httpRequest(`http://${address}${path}`, {
    method: options.method ?? 'GET',
    headers: { authorization: `Bearer ${TOKEN}`, ...options.headers },
    agent: options.agent ?? false,
  });
  request.on('error', () => undefined);
  request.end(options.body);
  const [response] = await once(request, 'response') as [IncomingMessage];
  return { request, response };
};

/** Sends a request as a caller and reads the whole response. */
export const call = async (address: string, path: string, options: CallOptions = {}) => {
  const { response } = await open(address, path, options);
  const chunks: Buffer[] = [];
  for await (const chunk of response) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  const isProblem = response.headers['content-type'] === 'application/problem+json';
  const problem = (isProblem ? JSON.parse(text) : {}) as Readonly<Record<string, string>>;
  return {
    status: response.statusCode ?? 0, headers: response.headers, text, problem,
  };
};

/** Sends raw bytes and reads until the connection closes. */
export const sendRaw = async (address: string, text: string): Promise<string> => {
  const port = Number(address.split(':')[1]);
  const socket: Socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.write(text);
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString();
  });
  await once(socket, 'close');
  return received;
};
