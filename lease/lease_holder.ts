import { setMaxListeners } from 'node:events';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, Placements, WitnessReference,
} from '../placement/mod.ts';
import {
  type Logger, metricNames, type Metrics, silentLogger, silentMetrics,
} from '../telemetry/mod.ts';
import { createPauseDetector } from './_pause_detector.ts';
import { allWitnesses, latestMajorityTime, witnessSets } from './_quorum.ts';
import { findOwner } from './_record_index.ts';
import { startRelease } from './_release.ts';
import { startTask, type Task } from './_task.ts';
import { createWitnessAcknowledgement } from './_witness_acknowledgement.ts';
import { LEASE_DURATION_MS, RENEWAL_INTERVAL_MS } from './timing.ts';

/** Keeps a request inside one uninterrupted period of a lease. */
export interface LeaseHold {
  /** Aborts when the period ends: the lease lapsed, or the owner was removed. */
  readonly signal: AbortSignal;
  /** Call it when the request has ended. */
  readonly release: () => void;
}

/** The lease of one owner incarnation. */
export interface LeaseHolder {
  readonly service: string;
  readonly ownerId: OwnerId;
  /** Checks the lease at this moment, noticing a pause of the process. */
  readonly isValid: () => boolean;
  /** Starts a request under the lease; `undefined` when the lease is not valid now. */
  readonly hold: () => LeaseHold | undefined;
  /** True once the record has shown the owner as removed; it stays true. */
  readonly isRemoved: () => boolean;
  /** Stops renewing and ends the present period. */
  readonly stop: () => void;
}

/** Options of a lease holder. */
export interface LeaseHolderOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly service: string;
  /** The owner incarnation, `node#incarnation`. */
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  /** Called once when the owner was removed: to serve again, the node needs a new incarnation. */
  readonly onRemoved: (ownerId: OwnerId) => void;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

/**
 * Starts to renew the lease of an owner incarnation at all witnesses that the record names.
 *
 * @param options Clock, transport, placements, the owner and the callback on its removal.
 * @returns The lease holder.
 *
 * @example
 * const holder = createLeaseHolder({ clock, transport, placements, service, ownerId, random,
 *   onRemoved: () => joinAgain(service) });
 */
export const createLeaseHolder = (options: LeaseHolderOptions): LeaseHolder => {
  const {
    clock, transport, placements, service, ownerId,
  } = options;
  const logger = options.logger ?? silentLogger.forPart('lease');
  const metrics = options.metrics ?? silentMetrics;
  const firstSentMs = new Map<OwnerId, number>();
  const confirmedMs = new Map<OwnerId, number>();
  let period: AbortController | undefined;
  let validUntilMs = -Infinity;
  /** Since when there is no valid lease, while there is none. */
  let lapsedMs = clock.now();
  let inFlight = 0;
  let seen = false;
  let removed = false;
  let stopped = false;
  let cancelExpiry = () => undefined as void;
  let releaseTask: Task | undefined;

  const owner = (): Owner | undefined => findOwner(placements.current(service), ownerId);

  const endPeriod = (reason: string) => {
    validUntilMs = -Infinity;
    cancelExpiry();
    if (!period) return;
    const ended = period;
    period = undefined;
    lapsedMs = clock.now();
    ended.abort();
    metrics.increment(metricNames.leaseLapses, { service });
    logger.warn({ service, owner: ownerId, inFlight }, `the lease ended: ${reason}`);
  };

  const detector = createPauseDetector(clock, () => endPeriod('the process was paused'));

  /** Send time of the newest renewal that counts; renewals sent before a pause do not. */
  const renewedMs = (witness: OwnerId): number => {
    const sentMs = confirmedMs.get(witness);
    return sentMs !== undefined && sentMs >= detector.lastPauseMs() ? sentMs : -Infinity;
  };

  const checkExpiry = () => {
    if (clock.now() >= validUntilMs) endPeriod('too few witnesses renewed it');
  };

  const refresh = () => {
    const current = owner();
    const isLive = current && current.state !== 'removed' && !stopped && !removed;
    const leaseEndMs = isLive
      ? latestMajorityTime(witnessSets(current), renewedMs) + LEASE_DURATION_MS
      : -Infinity;
    // A change of witnesses does not shorten a lease: a takeover under the newer record also needs
    // a majority of the set that granted it.
    validUntilMs = Math.max(validUntilMs, leaseEndMs);
    checkExpiry();
    if (validUntilMs <= clock.now()) return;
    cancelExpiry();
    cancelExpiry = clock.schedule(validUntilMs - clock.now(), checkExpiry);
    if (period) return;
    period = new AbortController();
    // Each request in flight listens to it; the warning above 10 listeners would be a false one.
    setMaxListeners(0, period.signal);
    logger.info({ service, owner: ownerId }, 'the lease is valid');
  };

  const isValid = () => {
    detector.lastPauseMs();
    checkExpiry();
    return period !== undefined;
  };

  const acknowledgement = createWitnessAcknowledgement({ ...options, logger, renewedMs });

  /**
   * Time without an answer of the witness or without a lease. An owner that some witnesses hear but
   * that gets no majority would otherwise neither serve nor be replaced.
   */
  const unconfirmedMs = (witness: OwnerId): number => {
    const answeredMs = confirmedMs.get(witness) ?? firstSentMs.get(witness) ?? clock.now();
    const sinceMs = Math.min(answeredMs, period ? Infinity : lapsedMs);
    return clock.now() - Math.max(sinceMs, detector.lastPauseMs());
  };

  const renewAt = async ({ id, controlAddress }: WitnessReference) => {
    const sentMs = clock.now();
    if (!firstSentMs.has(id)) firstSentMs.set(id, sentMs);
    const outcome = await transport.request(controlAddress, {
      $case: 'renew',
      value: {
        service, owner: ownerId, witness: id, unconfirmedMs: unconfirmedMs(id),
      },
    }, { timeoutMs: LEASE_DURATION_MS });
    if (stopped || removed || outcome.isErr()) return;
    const body = outcome.value;
    if (body.$case !== 'renewed' || !body.value.granted) return;
    confirmedMs.set(id, Math.max(sentMs, confirmedMs.get(id) ?? -Infinity));
    refresh();
    acknowledgement.attempt();
  };

  const renewAll = async () => {
    const current = owner();
    for (const reference of current ? allWitnesses(current) : []) renewAt(reference);
    return RENEWAL_INTERVAL_MS;
  };

  const renewals = startTask(clock, renewAll);

  const startReleasing = () => {
    if (!removed || inFlight > 0 || releaseTask || stopped) return;
    releaseTask = startRelease({ ...options, logger });
  };

  const hold = (): LeaseHold | undefined => {
    if (!isValid() || !period) return undefined;
    let ended = false;
    inFlight += 1;
    return {
      signal: period.signal,
      release: () => {
        if (ended) return;
        ended = true;
        inFlight -= 1;
        startReleasing();
      },
    };
  };

  const onRemoval = () => {
    removed = true;
    endPeriod('the owner was removed');
    renewals.stop();
    logger.warn({ service, owner: ownerId }, 'the owner was removed; a new incarnation is needed');
    options.onRemoved(ownerId);
    startReleasing();
  };

  const accept = (record: PlacementRecord) => {
    if (record.service !== service || stopped || removed) return;
    const current = findOwner(record, ownerId);
    if (current?.state === 'removed' || (!current && seen)) {
      onRemoval();
      return;
    }
    const isNew = current && allWitnesses(current).some(({ id }) => !firstSentMs.has(id));
    if (current && !seen) lapsedMs = clock.now();
    seen ||= current !== undefined;
    refresh();
    if (isNew) renewals.wake();
  };

  const stopListening = placements.onChange(accept);
  const known = placements.current(service);
  if (known) accept(known);

  return {
    service,
    ownerId,
    isValid,
    hold,
    isRemoved: () => removed,
    stop: () => {
      stopped = true;
      stopListening();
      renewals.stop();
      releaseTask?.stop();
      detector.stop();
      endPeriod('the holder was stopped');
    },
  };
};
