import { setMaxListeners } from 'node:events';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type {
  Owner, OwnerId, PlacementRecord, Placements, WitnessReference,
} from '../placement/mod.ts';
import {
  type Logger, metricNames, type Metrics, noopLogger, noopMetrics,
} from '../telemetry/mod.ts';
import { createPauseDetector } from './_pause_detector.ts';
import { allWitnesses, latestMajorityTime, witnessSets } from './_quorum.ts';
import { findOwner } from './_record_index.ts';
import { startRelease } from './_release.ts';
import { startTask, type Task } from './_task.ts';
import { createWitnessAcknowledgement } from './_witness_acknowledgement.ts';
import { LEASE_DURATION_MS, RENEWAL_INTERVAL_MS } from './timing.ts';

/** Permit to run one request during one uninterrupted validity period of a lease. */
export interface LeasePermit {
  /** Aborts when the validity period ends, such as by expiry or removal of the owner. */
  readonly signal: AbortSignal;
  /** Must be called when the request has ended; further calls have no effect. */
  readonly release: () => void;
}

/** Holds the lease of one owner incarnation and renews it. */
export interface LeaseHolder {
  readonly service: string;
  readonly ownerId: OwnerId;
  /** Checks the lease against the current time, including a pause that has just ended. */
  readonly isValid: () => boolean;
  /** Returns a permit for one request, or `undefined` when the lease is not valid. */
  readonly acquire: () => LeasePermit | undefined;
  /** True from the time at which a placement record shows the owner as removed. */
  readonly isRemoved: () => boolean;
  /** Stops renewing and ends the current validity period. */
  readonly stop: () => void;
}

/** Options of `createLeaseHolder`. */
export interface LeaseHolderOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly placements: Placements;
  readonly service: string;
  /** Identifier of the owner incarnation, `node#incarnation`. */
  readonly ownerId: OwnerId;
  readonly random: RandomGenerator;
  /** Called once, on removal of the owner. To serve again, the node joins as a new incarnation. */
  readonly onRemoved: (ownerId: OwnerId) => void;
  readonly logger?: Logger;
  readonly metrics?: Metrics;
}

/**
 * Starts renewing the lease of an owner incarnation at all witnesses that the placement record
 * lists for it. The lease is valid for `LEASE_DURATION_MS` from the time at which renewals that a
 * majority of each witness set granted were sent.
 *
 * @param options Clock, transport, placements, the owner and the callback for its removal.
 * @returns The lease holder; its lease becomes valid with the first majority of renewals.
 *
 * @example
 * const holder = createLeaseHolder({ clock, transport, placements, service, ownerId, random,
 *   onRemoved: () => joinAgain(service) });
 */
export const createLeaseHolder = (options: LeaseHolderOptions): LeaseHolder => {
  const {
    clock, transport, placements, service, ownerId,
  } = options;
  const logger = options.logger ?? noopLogger.forComponent('lease');
  const metrics = options.metrics ?? noopMetrics;
  /** Send time of the first renewal to each witness. */
  const firstSentMs = new Map<OwnerId, number>();
  /** Send time of the newest renewal that each witness granted. */
  const grantedSentMs = new Map<OwnerId, number>();
  /** Aborts the requests of the current validity period; `undefined` without a valid lease. */
  let validPeriod: AbortController | undefined;
  let validUntilMs = -Infinity;
  /** Start of the current period without a valid lease; unused while the lease is valid. */
  let invalidSinceMs = clock.now();
  let inFlight = 0;
  let wasListed = false;
  let removed = false;
  let stopped = false;
  let cancelExpiryTimer = () => undefined as void;
  let releaseTask: Task | undefined;

  const owner = (): Owner | undefined => findOwner(placements.current(service), ownerId);

  const invalidate = (reason: string) => {
    validUntilMs = -Infinity;
    cancelExpiryTimer();
    if (!validPeriod) return;
    const ended = validPeriod;
    validPeriod = undefined;
    invalidSinceMs = clock.now();
    ended.abort();
    metrics.increment(metricNames.leaseLapses, { service });
    logger.warn({ service, owner: ownerId, inFlight }, `lease is no longer valid: ${reason}`);
  };

  const pauseDetector = createPauseDetector(clock, () => invalidate('the process was paused'));

  /**
   * Send time of the newest granted renewal, or `-Infinity`. Renewals sent before a pause of the
   * process do not count.
   */
  const renewalSentMs = (witness: OwnerId): number => {
    const sentMs = grantedSentMs.get(witness);
    return sentMs !== undefined && sentMs >= pauseDetector.lastPauseMs() ? sentMs : -Infinity;
  };

  const checkExpiry = () => {
    if (clock.now() >= validUntilMs) invalidate('no majority of the witnesses renewed it');
  };

  const updateValidity = () => {
    const current = owner();
    const isLive = current && current.state !== 'removed' && !stopped && !removed;
    const leaseEndMs = isLive
      ? latestMajorityTime(witnessSets(current), renewalSentMs) + LEASE_DURATION_MS
      : -Infinity;
    // A change of witnesses does not shorten the lease. That is safe, as a takeover under the newer
    // record also needs a majority of the witness set that granted the lease.
    validUntilMs = Math.max(validUntilMs, leaseEndMs);
    checkExpiry();
    if (validUntilMs <= clock.now()) return;
    cancelExpiryTimer();
    cancelExpiryTimer = clock.schedule(validUntilMs - clock.now(), checkExpiry);
    if (validPeriod) return;
    validPeriod = new AbortController();
    // Every in-flight request adds a listener, so Node.js would falsely warn of a leak above 10
    // listeners.
    setMaxListeners(0, validPeriod.signal);
    logger.info({ service, owner: ownerId }, 'lease is valid');
  };

  const isValid = () => {
    pauseDetector.lastPauseMs();
    checkExpiry();
    return validPeriod !== undefined;
  };

  const acknowledgement = createWitnessAcknowledgement({ ...options, logger, renewalSentMs });

  /**
   * Time in ms since the witness last granted a renewal, or since the lease became invalid if that
   * is longer ago; time before a pause does not count. Witnesses use it to remove an owner that
   * reaches some of them but no majority: it would otherwise neither serve nor be replaced.
   */
  const unconfirmedMs = (witness: OwnerId): number => {
    const answeredMs = grantedSentMs.get(witness) ?? firstSentMs.get(witness) ?? clock.now();
    const sinceMs = Math.min(answeredMs, validPeriod ? Infinity : invalidSinceMs);
    return clock.now() - Math.max(sinceMs, pauseDetector.lastPauseMs());
  };

  const renewAtWitness = async ({ id, controlAddress }: WitnessReference) => {
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
    grantedSentMs.set(id, Math.max(sentMs, grantedSentMs.get(id) ?? -Infinity));
    updateValidity();
    acknowledgement.attempt();
  };

  const renewAtAllWitnesses = async () => {
    const current = owner();
    for (const reference of current ? allWitnesses(current) : []) renewAtWitness(reference);
    return RENEWAL_INTERVAL_MS;
  };

  const renewals = startTask(clock, renewAtAllWitnesses);

  const startReleaseWhenIdle = () => {
    if (!removed || inFlight > 0 || releaseTask || stopped) return;
    releaseTask = startRelease({ ...options, logger });
  };

  const acquire = (): LeasePermit | undefined => {
    if (!isValid() || !validPeriod) return undefined;
    let ended = false;
    inFlight += 1;
    return {
      signal: validPeriod.signal,
      release: () => {
        if (ended) return;
        ended = true;
        inFlight -= 1;
        startReleaseWhenIdle();
      },
    };
  };

  const handleRemoval = () => {
    removed = true;
    invalidate('the owner was removed');
    renewals.stop();
    logger.warn(
      { service, owner: ownerId },
      'owner was removed; the node must join again as a new incarnation',
    );
    options.onRemoved(ownerId);
    startReleaseWhenIdle();
  };

  const applyRecord = (record: PlacementRecord) => {
    if (record.service !== service || stopped || removed) return;
    const current = findOwner(record, ownerId);
    if (current?.state === 'removed' || (!current && wasListed)) {
      handleRemoval();
      return;
    }
    const hasNewWitness = current && allWitnesses(current).some(({ id }) => !firstSentMs.has(id));
    if (current && !wasListed) invalidSinceMs = clock.now();
    wasListed ||= current !== undefined;
    updateValidity();
    if (hasNewWitness) renewals.wake();
  };

  const stopListening = placements.onChange(applyRecord);
  const known = placements.current(service);
  if (known) applyRecord(known);

  return {
    service,
    ownerId,
    isValid,
    acquire,
    isRemoved: () => removed,
    stop: () => {
      stopped = true;
      stopListening();
      renewals.stop();
      releaseTask?.stop();
      pauseDetector.stop();
      invalidate('the lease holder was stopped');
    },
  };
};
