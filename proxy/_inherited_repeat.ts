import type { Clock } from '../clock/mod.ts';

/** Owners remember idempotency keys for this long, so a former owner's keys count for as long. */
const REPEAT_WINDOW_MS = 600_000;
/** Most by which a caller's clock may be ahead of a node's. */
const CALLER_CLOCK_MARGIN_MS = 10_000;

const UUID_VERSION_7 = /^([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/iu;

/** Creation time in ms since the Unix epoch of a UUID of version 7. */
const creationTimeOf = (key: string): number | undefined => {
  const match = UUID_VERSION_7.exec(key);
  return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16);
};

/**
 * Tells whether a request with this idempotency key may repeat one that a former owner ran. A UUID
 * of version 7 tells its age; any other key may be older than the change of owner.
 */
export const mayRepeatFormerOwner = (key: string, inheritedAt: number, clock: Clock): boolean => {
  const sinceChangeMs = clock.now() - inheritedAt;
  if (sinceChangeMs > REPEAT_WINDOW_MS) return false;
  const createdAt = creationTimeOf(key);
  if (createdAt === undefined) return true;
  return createdAt < clock.wallTime() - sinceChangeMs + CALLER_CLOCK_MARGIN_MS;
};
