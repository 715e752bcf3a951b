import type { Clock } from '../clock/mod.ts';
import { type Announce, createTestInstance, type TestInstance } from './_test_instance.ts';

/** The processes of the instance on a simulated host. */
export interface HostInstances {
  /** The process that listens; undefined while there is none. */
  readonly current: () => TestInstance | undefined;
  /** All processes that run, also those that finish a request without a listener. */
  readonly all: () => readonly TestInstance[];
  readonly start: () => void;
  readonly kill: () => void;
  /** Closes the listener; the process ends once it has finished a request, after `workMs`. */
  readonly finish: (request: FinishedRequest) => void;
  /** Reports whether a process finishes a request of a sender. */
  readonly isAtWork: (startedAt: number, sender: unknown) => boolean;
  /** Makes the processes announce themselves. */
  readonly announce: () => void;
  /** Ends the processes that have finished their requests. */
  readonly endFinished: () => void;
}

/** The last request of a process. */
export interface FinishedRequest {
  readonly workMs: number;
  /** Whether the process announces itself no more. */
  readonly isSilent: boolean;
  /** The node that sent the request. */
  readonly sender: unknown;
}

interface FinishingInstance extends FinishedRequest {
  readonly instance: TestInstance;
  readonly endsAt: number;
}

/** Creates the instances of the host with this index; none runs before the first start. */
export const createHostInstances = (
  clock: Clock,
  index: number,
  send: Announce,
): HostInstances => {
  let starts = 0;
  let current: TestInstance | undefined;
  let finishing: readonly FinishingInstance[] = [];

  return {
    current: () => current,
    all: () => [
      ...finishing.map(({ instance }) => instance), ...(current === undefined ? [] : [current]),
    ],
    start: () => {
      starts += 1;
      current = createTestInstance({
        clock,
        name: `i-${index}-${starts}`,
        startedAt: clock.wallTime(),
        clockRate: 0.98,
        send,
      });
    },
    kill: () => {
      current = undefined;
    },
    finish: (request) => {
      if (current === undefined) return;
      const endsAt = clock.now() + request.workMs;
      finishing = [...finishing, { ...request, instance: current, endsAt }];
      current = undefined;
    },
    isAtWork: (startedAt, sender) => finishing.some((last) => (
      last.instance.startedAt === startedAt && last.sender === sender
    )),
    announce: () => {
      current?.announce();
      for (const { instance, isSilent } of finishing) if (!isSilent) instance.announce();
    },
    endFinished: () => {
      finishing = finishing.filter(({ endsAt }) => clock.now() < endsAt);
    },
  };
};
