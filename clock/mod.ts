/** Time in milliseconds: the system clock, and fake and pausable clocks for tests. */
export type { CancelTask, Clock } from './clock.ts';
export type { FakeClock } from './fake_clock.ts';
export { createSystemClock } from './system_clock.ts';
export { createFakeClock } from './fake_clock.ts';
export { createPausableClock, type PausableClock } from './pausable_clock.ts';
