import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../clock/mod.ts';

const clock = createSystemClock();

const POLL_INTERVAL_MS = 5;
/** Shortest time in ms between two polls that counts as a stop of this process. */
const MIN_STOP_MS = 20;

/**
 * Polls until a condition is met or a time limit has passed. Time for which the machine runs other
 * processes instead of this one does not count.
 *
 * @param check Returns whether the condition is met.
 * @param limitMs Time limit in ms; 500 by default.
 * @returns Whether the condition was met in time.
 *
 * @example
 * assert.ok(await isMet(() => answers.length === 3));
 */
export const isMet = async (check: () => boolean, limitMs = 500): Promise<boolean> => {
  let leftMs = limitMs;
  let polledAt = clock.now();
  let usedBefore = process.cpuUsage();
  while (!check()) {
    if (leftMs < 0) return false;
    await sleep(POLL_INTERVAL_MS);
    const passedMs = clock.now() - polledAt;
    const { user, system } = process.cpuUsage(usedBefore);
    const stoppedMs = passedMs - POLL_INTERVAL_MS - (user + system) / 1000;
    leftMs -= stoppedMs < MIN_STOP_MS ? passedMs : passedMs - stoppedMs;
    polledAt += passedMs;
    usedBefore = process.cpuUsage();
  }
  return true;
};
