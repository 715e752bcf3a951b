import type { Clock } from '../clock/mod.ts';

/** Time in ms for which owners retain idempotency keys; keys of a former owner count as long. */
const IDEMPOTENCY_RETENTION_MS = 600_000;
/** Largest time in ms by which the clock of a caller may be ahead of that of a node. */
const MAX_CALLER_CLOCK_SKEW_MS = 10_000;

const UUID_VERSION_7 = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;

/** Returns the creation time of a version 7 UUID in ms since the Unix epoch. */
const creationTimeOf = (key: string): number | undefined => {
  const match = UUID_VERSION_7.exec(key);
  return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16);
};

/**
 * Returns whether a request with an idempotency key may repeat a request that a former owner ran. A
 * version 7 UUID contains its creation time; any other key may predate the ownership transfer.
 *
 * @param key Idempotency key of the request.
 * @param transferredAtMs Time of the ownership transfer in ms of the monotonic clock.
 * @param clock Clock of the node.
 * @returns True if a former owner may have run the request.
 *
 * @example
 * if (mayRepeatFormerOwner(key, permit.transferredAtMs, clock)) refuse(request);
 */
export const mayRepeatFormerOwner = (
  key: string,
  transferredAtMs: number,
  clock: Clock,
): boolean => {
  const sinceTransferMs = clock.now() - transferredAtMs;
  if (sinceTransferMs > IDEMPOTENCY_RETENTION_MS) return false;
  const createdAt = creationTimeOf(key);
  if (createdAt === undefined) return true;
  return createdAt < clock.wallTime() - sinceTransferMs + MAX_CALLER_CLOCK_SKEW_MS;
};
