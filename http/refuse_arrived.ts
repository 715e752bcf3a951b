import type { Clock } from '../clock/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import type { HttpListener } from './http_server_options.ts';

/** Options of {@link refuseArrived}. */
export interface RefuseArrivedOptions {
  readonly clock: Clock;
  /** Listeners that refuse all requests by now. */
  readonly listeners: readonly Pick<HttpListener, 'readArrived' | 'closeIdle'>[];
  readonly ends: Pick<EndOwner, 'untilAnswered'>;
  /** Called when a listener fails to read or to close; the others go on. */
  readonly onFailure: (error: unknown) => void;
}

/** Limits the time in which requests that have arrived before the exit are refused. */
const REFUSAL_LIMIT_MS = 250;
/** Time for these refusals when the exit is late; an event loop that is free needs less. */
const LATE_REFUSAL_LIMIT_MS = 100;
/** Listeners end the first pass in different turns of the event loop, as some still accept. */
const QUIET_PASSES = 2;

/**
 * Reads what has arrived at listeners that refuse all requests, waits for the refusals and closes
 * the connections without a request. At the exit of the process, a connection whose input was not
 * read is reset.
 *
 * @param options Clock, listeners and owner of the ends.
 * @param exitBy Time by which the process should exit, monotonic in ms.
 *
 * @example
 * await refuseArrived({ clock, listeners, ends, onFailure }, clock.now() + 250);
 */
export const refuseArrived = async (
  {
    clock, listeners, ends, onFailure,
  }: RefuseArrivedOptions,
  exitBy: number,
): Promise<void> => {
  const now = clock.now();
  const refusedBy = Math.max(
    now + LATE_REFUSAL_LIMIT_MS,
    Math.min(now + REFUSAL_LIMIT_MS, exitBy),
  );
  const readArrived = async (listener: RefuseArrivedOptions['listeners'][number]) => {
    try {
      return await listener.readArrived(refusedBy);
    } catch (error) {
      onFailure(error);
      return 0;
    }
  };
  const refuse = async () => {
    let quietPasses = 0;
    do {
      const counts = await Promise.all(listeners.map(readArrived));
      const readCount = counts.reduce((sum, count) => sum + count, 0);
      quietPasses = readCount > 0 ? 0 : quietPasses + 1;
      if (readCount > 0) await ends.untilAnswered(refusedBy);
    } while (quietPasses < QUIET_PASSES && clock.now() < refusedBy);
  };
  const timeout = new AbortController();
  await Promise.race([refuse(), clock.sleep(refusedBy - now, timeout.signal)]);
  timeout.abort();
  // The exit takes long enough for clients to send further requests on open connections.
  for (const { closeIdle } of listeners) {
    try {
      closeIdle();
    } catch (error) {
      onFailure(error);
    }
  }
};
