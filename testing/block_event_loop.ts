/**
 * Keeps the event loop busy, as a process that waits for the processor does.
 *
 * @param durationMs Time in ms.
 *
 * @example
 * blockEventLoop(400);
 */
export const blockEventLoop = (durationMs: number): void => {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt);
};
