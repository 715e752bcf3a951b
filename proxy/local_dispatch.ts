import type { Admission, PermitOutcome } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { CompiledContracts, ServiceDefinition } from '../contract/mod.ts';
import { type Outcome, RefusalError, StepError } from '../errors/mod.ts';
import {
  type AnswerSink,
  type AttemptEnd,
  type ExchangeEnd,
  findHeader,
  type HopRequest,
  type IdempotencyTable,
  type RefusedEnd,
  type UpstreamClient,
} from '../forward/mod.ts';
import type { Ownership, OwnershipPermit } from '../lease/mod.ts';
import { IDEMPOTENCY_HEADER, withIdempotency } from './_idempotency.ts';
import { mayRepeatFormerOwner } from './_inherited_repeat.ts';
import { waitForBody } from './_request_body.ts';

/** The local instance: the path to it and its limits. */
export interface LocalUpstream {
  readonly client: UpstreamClient;
  readonly admission: Admission;
}

/** Runs a request at the local instance. */
export type LocalDispatch = (request: HopRequest, sink: AnswerSink) => Promise<AttemptEnd>;

/** Collaborators of the local dispatch. */
export interface LocalDispatchOptions {
  readonly clock: Clock;
  readonly ownership: Ownership;
  readonly contracts: () => CompiledContracts;
  readonly findUpstream: (instance: string) => LocalUpstream | undefined;
  readonly idempotency: IdempotencyTable;
}

const hasKey = (service: ServiceDefinition, request: HopRequest) => (
  !service.keyed || request.key !== undefined
);

/** Step of a refusal because the key is not served here; a newer record may lead elsewhere. */
export const OWNERSHIP_STEP = 'dispatch.ownership';

/** Step of a refusal because this owner may serve the key only in a moment. */
export const PENDING_STEP = 'dispatch.pending';

const UPSTREAM_STEP = 'dispatch.upstream';
const IDEMPOTENCY_STEP = 'dispatch.idempotency';

interface RefusalParts {
  readonly status: number;
  readonly outcome: Outcome;
  readonly step: string;
  readonly peer?: string;
  readonly cause?: unknown;
  readonly retryAfterSeconds?: number;
}

const refused = (reason: string, parts: RefusalParts, upstream?: LocalUpstream): RefusedEnd => ({
  kind: 'refused',
  refusal: new RefusalError(reason, parts),
  load: upstream?.admission.load(),
  timedOut: parts.status === 504 && parts.outcome === 'unknown',
});

const permitOutcomeOf = (end: ExchangeEnd, shed: boolean): PermitOutcome => {
  if (shed) return 'overload';
  if (end.kind === 'complete') return end.status >= 500 ? 'failure' : 'success';
  if (end.cause === 'deadline' || end.cause === 'stall') return 'overload';
  return end.cause === 'connection' || end.cause === 'mismatch' ? 'failure' : 'cancelled';
};

/**
 * Creates the dispatch of requests to the local instance. It takes a slot of the instance first,
 * then checks ownership in the event-loop turn in which the request is written.
 *
 * @param options Clock, ownership, contracts and the local instances.
 * @returns The dispatch.
 *
 * @example
 * const dispatch = createLocalDispatch({ clock, ownership, contracts, findUpstream, idempotency });
 */
export const createLocalDispatch = (options: LocalDispatchOptions): LocalDispatch => {
  const { clock, ownership } = options;

  const enter = (request: HopRequest): OwnershipPermit | RefusalError => {
    const entered = ownership.acquire(request.service, request.key!);
    if (entered.isOk()) return entered.value;
    const { reason, owner } = entered.error;
    return new RefusalError(`the key is not served here: ${reason}`, {
      step: reason === 'pending' ? PENDING_STEP : OWNERSHIP_STEP,
      peer: owner?.id ?? '',
      status: 503,
      outcome: 'not run',
    });
  };

  const mayRepeat = (request: HopRequest, ticket: OwnershipPermit): boolean => {
    if (request.requestClass !== 'submission' || ticket.transferredAtMs === undefined) return false;
    const key = findHeader(request.headers, IDEMPOTENCY_HEADER);
    return key !== undefined && mayRepeatFormerOwner(key, ticket.transferredAtMs, clock);
  };

  /** Repeats the ownership check when the request had to wait for a connection. */
  const checkAgain = (request: HopRequest, ticket: OwnershipPermit): Error | undefined => {
    const again = enter(request);
    if (again instanceof RefusalError) return again;
    again.release();
    if (again.token === ticket.token) return undefined;
    return new RefusalError('the key changed owner', {
      step: OWNERSHIP_STEP, status: 503, outcome: 'not run',
    });
  };

  const settleFailure = (
    end: ExchangeEnd & { readonly kind: 'failed' },
    upstream: LocalUpstream,
  ): AttemptEnd => {
    const peer = upstream.client.address;
    const details = { step: UPSTREAM_STEP, peer, cause: end.error };
    if (end.begun) {
      const reason = `the answer broke off: ${end.error.message}`;
      return { kind: 'truncated', error: new StepError(reason, details) };
    }
    const load = upstream.admission.load();
    if (end.error instanceof RefusalError) {
      return {
        kind: 'refused', refusal: end.error, load, timedOut: false,
      };
    }
    if (!end.written) {
      const status = end.cause === 'deadline' ? 504 : 503;
      const reason = `nothing was sent: ${end.error.message}`;
      return refused(reason, { ...details, status, outcome: 'not run' }, upstream);
    }
    const status = end.cause === 'deadline' ? 504 : 502;
    return refused(end.error.message, { ...details, status, outcome: 'unknown' }, upstream);
  };

  const send = async (
    request: HopRequest,
    sink: AnswerSink,
    service: ServiceDefinition,
    upstream: LocalUpstream,
    ticket: OwnershipPermit | undefined,
  ): Promise<readonly [AttemptEnd, PermitOutcome]> => {
    let refusedStatus = 0;
    let retryAfterSeconds: number | undefined;
    let sameTurn = true;
    const sending = upstream.client.send({
      requestId: request.requestId,
      requestClass: request.requestClass,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      deadlineAt: request.deadlineAt,
      token: ticket?.token,
      slot: ticket?.slot,
      signal: request.signal,
      lapse: ticket?.signal,
      beforeWrite: ticket === undefined
        ? undefined
        : () => (sameTurn ? undefined : checkAgain(request, ticket)),
    }, {
      ...sink,
      start: (status, headers) => {
        if (!service.refusalStatuses.includes(status)) return sink.start(status, headers);
        refusedStatus = status;
        const index = headers.findIndex((name) => name.toLowerCase() === 'retry-after');
        const seconds = index % 2 === 0 ? Number(headers[index + 1]) : Number.NaN;
        if (Number.isFinite(seconds)) retryAfterSeconds = seconds;
        return 'drain';
      },
    });
    sameTurn = false;
    const end = await sending;
    const permitOutcome = permitOutcomeOf(end, refusedStatus > 0);
    if (refusedStatus > 0) {
      return [refused(`the upstream refused with status ${refusedStatus}`, {
        status: 503,
        outcome: 'not run',
        step: UPSTREAM_STEP,
        peer: upstream.client.address,
        retryAfterSeconds,
      }, upstream), permitOutcome];
    }
    if (end.kind === 'failed') return [settleFailure(end, upstream), permitOutcome];
    const { status } = end;
    return [{ kind: 'answered', status, load: upstream.admission.load() }, permitOutcome];
  };

  const dispatch: LocalDispatch = async (request, sink) => {
    const service = options.contracts().findService(request.service);
    const upstream = options.findUpstream(request.instance);
    if (service === undefined || upstream === undefined || !hasKey(service, request)) {
      return refused('no such service or instance here, or no key', {
        status: 503, outcome: 'not run', step: 'dispatch.find', peer: request.instance,
      });
    }
    if (request.body !== null) await waitForBody(request.body, request, clock);
    if (clock.now() >= request.deadlineAt) {
      return refused('the deadline has passed', {
        status: 504, outcome: 'not run', step: 'dispatch.deadline', peer: request.instance,
      }, upstream);
    }
    const admitted = await upstream.admission.acquire(request);
    if (admitted.isErr()) {
      const refusal = admitted.error;
      const load = upstream.admission.load();
      return {
        kind: 'refused', refusal, load, timedOut: false,
      };
    }
    const permit = admitted.value;
    const ticket = service.keyed ? enter(request) : undefined;
    if (ticket instanceof RefusalError) {
      permit.release('cancelled');
      return {
        kind: 'refused', refusal: ticket, load: upstream.admission.load(), timedOut: false,
      };
    }
    if (ticket !== undefined && mayRepeat(request, ticket)) {
      ticket.release();
      permit.release('cancelled');
      return refused('a former owner of the key may have run this idempotency key', {
        status: 409, outcome: 'unknown', step: IDEMPOTENCY_STEP, peer: request.instance,
      }, upstream);
    }
    let outcome: PermitOutcome = 'failure';
    try {
      const [end, permitOutcome] = await send(request, sink, service, upstream, ticket);
      outcome = permitOutcome;
      return end;
    } finally {
      ticket?.release();
      permit.release(outcome);
    }
  };

  return withIdempotency(options.idempotency, dispatch);
};
