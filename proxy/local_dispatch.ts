import type { Admission, PermitOutcome } from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import type { CompiledContracts, ServiceDefinition } from '../contract/mod.ts';
import { type Outcome, RefusalError, StepError } from '../errors/mod.ts';
import {
  type ResponseSink,
  type AttemptResult,
  type ExchangeResult,
  findHeader,
  type HopRequest,
  type IdempotencyTable,
  type RefusedResult,
  type UpstreamClient,
} from '../forward/mod.ts';
import type { Ownership, OwnershipPermit } from '../lease/mod.ts';
import { IDEMPOTENCY_HEADER, withIdempotency } from './_idempotency.ts';
import { mayRepeatFormerOwner } from './_former_owner_repeat.ts';
import { waitForBody } from './_request_body.ts';

/** A local instance: its HTTP client and its admission control. */
export interface LocalUpstream {
  readonly client: UpstreamClient;
  readonly admission: Admission;
}

/** Sends a request to the local instance and streams its response into the sink. */
export type LocalDispatch = (request: HopRequest, sink: ResponseSink) => Promise<AttemptResult>;

/** Dependencies of the local dispatch. */
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

/** Step of a refusal because this node does not own the key; a newer record may name the owner. */
export const OWNERSHIP_STEP = 'dispatch.ownership';

/** Step of a refusal because this owner has not yet completed the takeover of the key. */
export const PENDING_STEP = 'dispatch.pending';

const UPSTREAM_STEP = 'dispatch.upstream';
const IDEMPOTENCY_STEP = 'dispatch.idempotency';

interface RefusalDetails {
  readonly status: number;
  readonly outcome: Outcome;
  readonly step: string;
  readonly peer?: string;
  readonly cause?: unknown;
  readonly retryAfterSeconds?: number;
}

const toRefused = (
  reason: string,
  details: RefusalDetails,
  upstream?: LocalUpstream,
): RefusedResult => ({
  kind: 'refused',
  refusal: new RefusalError(reason, details),
  load: upstream?.admission.load(),
  timedOut: details.status === 504 && details.outcome === 'unknown',
});

const toPermitOutcome = (end: ExchangeResult, isRefused: boolean): PermitOutcome => {
  if (isRefused) return 'overload';
  if (end.kind === 'complete') return end.status >= 500 ? 'failure' : 'success';
  if (end.cause === 'deadline' || end.cause === 'stall') return 'overload';
  return end.cause === 'connection' || end.cause === 'mismatch' ? 'failure' : 'cancelled';
};

/**
 * Creates the dispatch to the local instance. It first acquires a slot of the instance, then checks
 * ownership in the same event-loop turn in which the request is written.
 *
 * @param options Clock, ownership, contracts and local instances.
 * @returns The dispatch.
 *
 * @example
 * const dispatch = createLocalDispatch({ clock, ownership, contracts, findUpstream, idempotency });
 */
export const createLocalDispatch = (options: LocalDispatchOptions): LocalDispatch => {
  const { clock, ownership } = options;

  const acquireOwnership = (request: HopRequest): OwnershipPermit | RefusalError => {
    const acquired = ownership.acquire(request.service, request.key!);
    if (acquired.isOk()) return acquired.value;
    const { reason, owner } = acquired.error;
    return new RefusalError(`the key is not served here: ${reason}`, {
      step: reason === 'pending' ? PENDING_STEP : OWNERSHIP_STEP,
      peer: owner?.id ?? '',
      status: 503,
      outcome: 'not run',
    });
  };

  const mayRepeatEarlierRequest = (request: HopRequest, permit: OwnershipPermit): boolean => {
    if (request.requestClass !== 'submission' || permit.transferredAtMs === undefined) return false;
    const key = findHeader(request.headers, IDEMPOTENCY_HEADER);
    return key !== undefined && mayRepeatFormerOwner(key, permit.transferredAtMs, clock);
  };

  /** Checks ownership again if the request had to wait for a connection. */
  const recheckOwnership = (request: HopRequest, permit: OwnershipPermit): Error | undefined => {
    const current = acquireOwnership(request);
    if (current instanceof RefusalError) return current;
    current.release();
    if (current.token === permit.token) return undefined;
    return new RefusalError('the key changed owner', {
      step: OWNERSHIP_STEP, status: 503, outcome: 'not run',
    });
  };

  const toFailedResult = (
    end: ExchangeResult & { readonly kind: 'failed' },
    upstream: LocalUpstream,
  ): AttemptResult => {
    const peer = upstream.client.address;
    const details = { step: UPSTREAM_STEP, peer, cause: end.error };
    if (end.begun) {
      const reason = `the response was truncated: ${end.error.message}`;
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
      return toRefused(reason, { ...details, status, outcome: 'not run' }, upstream);
    }
    const status = end.cause === 'deadline' ? 504 : 502;
    return toRefused(end.error.message, { ...details, status, outcome: 'unknown' }, upstream);
  };

  const send = async (
    request: HopRequest,
    sink: ResponseSink,
    service: ServiceDefinition,
    upstream: LocalUpstream,
    ownershipPermit: OwnershipPermit | undefined,
  ): Promise<readonly [AttemptResult, PermitOutcome]> => {
    let refusedStatus = 0;
    let retryAfterSeconds: number | undefined;
    let isSameTurn = true;
    const sending = upstream.client.send({
      requestId: request.requestId,
      requestClass: request.requestClass,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      deadlineAt: request.deadlineAt,
      token: ownershipPermit?.token,
      slot: ownershipPermit?.slot,
      signal: request.signal,
      leaseExpiry: ownershipPermit?.signal,
      beforeWrite: ownershipPermit === undefined
        ? undefined
        : () => (isSameTurn ? undefined : recheckOwnership(request, ownershipPermit)),
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
    isSameTurn = false;
    const end = await sending;
    const permitOutcome = toPermitOutcome(end, refusedStatus > 0);
    if (refusedStatus > 0) {
      return [toRefused(`the upstream refused with status ${refusedStatus}`, {
        status: 503,
        outcome: 'not run',
        step: UPSTREAM_STEP,
        peer: upstream.client.address,
        retryAfterSeconds,
      }, upstream), permitOutcome];
    }
    if (end.kind === 'failed') return [toFailedResult(end, upstream), permitOutcome];
    const { status } = end;
    return [{ kind: 'answered', status, load: upstream.admission.load() }, permitOutcome];
  };

  const dispatch: LocalDispatch = async (request, sink) => {
    const service = options.contracts().findService(request.service);
    const upstream = options.findUpstream(request.instance);
    if (service === undefined || upstream === undefined || !hasKey(service, request)) {
      return toRefused('no such service or instance here, or no key', {
        status: 503, outcome: 'not run', step: 'dispatch.find', peer: request.instance,
      });
    }
    if (request.body !== null) await waitForBody(request.body, request, clock);
    if (clock.now() >= request.deadlineAt) {
      return toRefused('the deadline has passed', {
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
    const admissionPermit = admitted.value;
    const ownershipPermit = service.keyed ? acquireOwnership(request) : undefined;
    if (ownershipPermit instanceof RefusalError) {
      admissionPermit.release('cancelled');
      return {
        kind: 'refused', refusal: ownershipPermit, load: upstream.admission.load(), timedOut: false,
      };
    }
    if (ownershipPermit !== undefined && mayRepeatEarlierRequest(request, ownershipPermit)) {
      ownershipPermit.release();
      admissionPermit.release('cancelled');
      return toRefused('a former owner of the key may have run this idempotency key', {
        status: 409, outcome: 'unknown', step: IDEMPOTENCY_STEP, peer: request.instance,
      }, upstream);
    }
    let outcome: PermitOutcome = 'failure';
    try {
      const [end, permitOutcome] = await send(request, sink, service, upstream, ownershipPermit);
      outcome = permitOutcome;
      return end;
    } finally {
      ownershipPermit?.release();
      admissionPermit.release(outcome);
    }
  };

  return withIdempotency(options.idempotency, dispatch);
};
