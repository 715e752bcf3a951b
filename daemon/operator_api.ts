import { type Context, Hono, type Next } from 'hono';
import type { Result } from 'neverthrow';
import { ContractError, StepError, StoreError } from '../errors/mod.ts';
import type { Status } from '../proto/mod.ts';
import { createSecretCheck } from '../peer/mod.ts';
import type { PlacementRecord } from '../placement/mod.ts';
import type { Announcements } from './announcements.ts';
import { ContractConflict, type Contracts } from './contracts.ts';

/** Operations of the node that the operator interface exposes. */
export interface OperatorBackend {
  readonly contracts: Contracts;
  readonly announcements: Announcements;
  readonly placement: (service: string) => PlacementRecord | undefined;
  /** Status of this node. */
  readonly status: () => Status;
  /** Status of all known nodes; the entry of a node that does not respond has an error. */
  readonly fleetStatus: () => Promise<readonly NodeStatus[]>;
  readonly confirmLost: (service: string, owner: string) => Promise<Result<unknown, StepError>>;
  /** Transfers all slots to other nodes; resolves when this node owns none. */
  readonly drain: () => Promise<void>;
}

/** Status of one node, or the reason why it is unknown. */
export interface NodeStatus {
  readonly node: string;
  readonly status: Status | undefined;
  readonly error: string | undefined;
}

/** Bearer tokens of operators and of the upstreams that announce themselves. */
export interface OperatorCredentials {
  readonly operator: string;
  readonly announce: string;
}

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_UNAVAILABLE = 503;

const problemResponse = (
  context: Context,
  status: 400 | 401 | 404 | 409 | 503,
  error: StepError,
) => (
  context.json({
    title: error.reason,
    status,
    step: error.step,
    peer: error.peer,
    ...(error instanceof ContractError ? { field: error.field } : {}),
    ...(error instanceof ContractConflict
      ? { revision: error.current?.revision ?? 0, differences: error.differences }
      : {}),
  }, status, { 'content-type': 'application/problem+json' })
);

const requireCredential = (expected: string) => {
  const isExpected = createSecretCheck(expected);
  return async (context: Context, next: Next) => {
    const [scheme, given] = (context.req.header('authorization') ?? '').split(' ');
    if (scheme?.toLowerCase() !== 'bearer' || !isExpected(given ?? '')) {
      const step = 'operator.authorize';
      const error = new StepError('the credential is missing or wrong', { step });
      return problemResponse(context, HTTP_UNAUTHORIZED, error);
    }
    return next();
  };
};

const applyErrorStatus = (error: StepError) => {
  if (error instanceof ContractConflict) return HTTP_CONFLICT;
  return error instanceof StoreError ? HTTP_UNAVAILABLE : HTTP_BAD_REQUEST;
};

const notFoundResponse = (context: Context, resource: string) => (
  problemResponse(
    context,
    HTTP_NOT_FOUND,
    new StepError(`${resource} is not known`, { step: 'operator.find' }),
  )
);

const addContractRoutes = (app: Hono, backend: OperatorBackend) => {
  app.get('/v1/contracts', (context) => context.json(backend.contracts.list()));
  app.get('/v1/contracts/:customer', (context) => {
    const customer = context.req.param('customer');
    const revision = backend.contracts.find(customer);
    return revision ? context.json(revision) : notFoundResponse(context, `customer '${customer}'`);
  });
  app.put('/v1/contracts/:customer', async (context) => {
    const revision = Number(context.req.query('revision'));
    if (!Number.isInteger(revision) || revision < 0) {
      const error = new StepError('revision must be a whole number', { step: 'contract.apply' });
      return problemResponse(context, HTTP_BAD_REQUEST, error);
    }
    const text = await context.req.text();
    const applied = await backend.contracts.apply(text, revision, context.req.param('customer'));
    if (applied.isOk()) return context.json(applied.value, HTTP_OK);
    return problemResponse(context, applyErrorStatus(applied.error), applied.error);
  });
};

const addPlacementRoutes = (app: Hono, backend: OperatorBackend) => {
  app.get('/v1/placement/:service', (context) => {
    const service = context.req.param('service');
    const record = backend.placement(service);
    return record ? context.json(record) : notFoundResponse(context, `service '${service}'`);
  });
  app.post('/v1/placement/:service/confirm-lost', async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const owner = (body as { readonly owner?: unknown } | undefined)?.owner;
    if (typeof owner !== 'string') {
      const error = new StepError('owner is missing', { step: 'placement.confirm-lost' });
      return problemResponse(context, HTTP_BAD_REQUEST, error);
    }
    const confirmed = await backend.confirmLost(context.req.param('service'), owner);
    if (confirmed.isErr()) return problemResponse(context, HTTP_CONFLICT, confirmed.error);
    return context.json({ owner, lost: true });
  });
};

/**
 * Creates the operator interface of a node: contracts, placement, status, drain, and the
 * announcements of upstreams.
 *
 * @param backend Operations of the node.
 * @param credentials Bearer tokens of operators and of upstreams.
 * @returns The Hono application.
 *
 * @example
 * serve({ fetch: createOperatorApi(backend, credentials).fetch, port: 8380 });
 */
export const createOperatorApi = (
  backend: OperatorBackend,
  credentials: OperatorCredentials,
): Hono => {
  const app = new Hono();
  app.put('/v1/announce', requireCredential(credentials.announce), async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const accepted = backend.announcements.accept(body);
    if (accepted.isErr()) return problemResponse(context, HTTP_BAD_REQUEST, accepted.error);
    return context.json(accepted.value);
  });
  app.use('/v1/*', requireCredential(credentials.operator));
  app.get('/v1/status', (context) => context.json(backend.status()));
  app.get('/v1/fleet', async (context) => context.json(await backend.fleetStatus()));
  app.post('/v1/drain', (context) => {
    backend.drain();
    return context.json({ draining: true }, HTTP_ACCEPTED);
  });
  addContractRoutes(app, backend);
  addPlacementRoutes(app, backend);
  return app;
};
