import { EventEmitter } from 'node:events';
import { createFakeClock } from '../clock/mod.ts';
import { createShutdownTracker } from '../gateway/mod.ts';
import {
  createEndOwner, type NodeEndReason, type StopRequest, unrecordedEnds,
} from '../lifecycle/mod.ts';
import { handleProcessFailures, noopLogger } from '../telemetry/mod.ts';
import { bindListeners } from './_bind_listeners.ts';
import { createGracefulStop } from './_create_graceful_stop.ts';
import { createProcessSignals } from './_process_signals.ts';
import { createModelListener, type ModelListener } from './_test_model_listener.ts';
import {
  createModelRequests, type ModelRequests, type ServingName,
} from './_test_model_requests.ts';
import { type ModelSettings, settingsTextOf, settingsTexts } from './_test_model_settings.ts';
import { createSettingsCheck } from './_settings_check.ts';

/** Listeners in the order in which a node binds them. */
const listenerNames = ['announcements', 'metrics', 'readiness', 'peer', 'caller'] as const;
type ListenerName = typeof listenerNames[number];

/** How a node starts. */
export interface ModelStart {
  /** Time in ms from the first handler of a signal until the node is started; none if absent. */
  readonly loadMs?: number;
  /** Time in ms before the first listener is bound. */
  readonly kernelMs: number;
  /** Times in ms of the binds, in their order. */
  readonly bindMs: readonly number[];
  /** Index of the bind that fails; -1 if the start fails before the first one. */
  readonly failsAt: number | undefined;
}

/** Events of a model of a node, and the violations it has found. */
export interface StopModel extends Omit<ModelRequests, 'checkExit'> {
  readonly slowDown: (listener: ServingName, delayMs: number) => void;
  /** Sends a SIGTERM; further ones may follow. */
  readonly signal: () => void;
  /** Changes the settings file and sends a SIGHUP. */
  readonly hangUp: (settings: ModelSettings) => void;
  readonly throwException: () => void;
  readonly advance: (durationMs: number) => Promise<void>;
  /** Stops the node, if nothing did, and checks what must hold after the exit. */
  readonly finish: () => Promise<void>;
  readonly violations: readonly string[];
  readonly hasExited: () => boolean;
}

const GRACE_MS = 6000;
/** Part of the grace time before whose begin a node must exit. */
const RESERVE_MS = 500;
/** Time for which a node waits for requests that it has not accepted. */
const UNUSED_CONNECTION_LIMIT_MS = 1000;
const EXIT_FAILED = 1;
/** Reasons for which a node may end a connection with requests open. */
const openEndReasons: readonly string[] = [
  'invalid input', 'too much invalid input', 'response cut', 'killed',
] satisfies readonly NodeEndReason[];

/**
 * Creates a model of a node: the real graceful stop, tracker and owner of the ends, wired as a node
 * wires them, with model listeners on a fake clock.
 *
 * @param start How the node starts.
 * @returns The events, and the violations found.
 */
export const createStopModel = (start: ModelStart): StopModel => {
  const clock = createFakeClock();
  const violations: string[] = [];
  const cancelTasks = new Set<() => void>();
  let exitedAt: number | undefined;
  let firstCauseAt: number | undefined;
  let closedAt: number | undefined;
  let isFailed = false;

  const report = (text: string) => {
    violations.push(`${clock.now()} ms: ${text}`);
  };

  /** The clock of the model, whose tasks end with the process. */
  const modelClock = {
    now: clock.now,
    schedule: (delayMs: number, run: () => void) => {
      const cancelTask = clock.schedule(delayMs, () => {
        cancelTasks.delete(cancelTask);
        run();
      });
      cancelTasks.add(cancelTask);
      return cancelTask;
    },
  };

  const sleep = (delayMs: number) => new Promise<void>((resolve) => {
    modelClock.schedule(delayMs, resolve);
  });

  const shutdown = createShutdownTracker(clock);

  let exit = (_status: number) => undefined as void;
  const ends = createEndOwner({
    clock, logger: noopLogger, exit: (status) => exit(status),
  });
  ends.onOpenEnd(({ what, by, why }) => {
    if (what === 'process' || by === 'client' || openEndReasons.includes(why)) return;
    report(`the node ends a connection with a request open: ${why}`);
  });

  const createListener = (name: ListenerName): ModelListener => {
    const index = listenerNames.indexOf(name);
    const isServing = name === 'peer' || name === 'caller';
    return createModelListener({
      clock: modelClock,
      ends: isServing ? ends.forListener(name, () => undefined) : unrecordedEnds,
      hasFinalResponse: name === 'peer',
      bindMs: start.bindMs[index] ?? 0,
      isBindFailing: start.failsAt === index,
    });
  };
  const listeners = Object.fromEntries(listenerNames.map((name) => (
    [name, createListener(name)]
  ))) as Readonly<Record<ListenerName, ModelListener>>;

  const checkBound = () => {
    const unbound = listenerNames.filter((name) => !listeners[name].wasBound());
    if (unbound.length > 0) report(`a caller is accepted before ${unbound.join()}`);
  };

  const requests = createModelRequests({
    clock: modelClock,
    shutdown,
    listeners,
    onConnect: (to) => {
      if (to === 'caller') checkBound();
    },
    report,
  });

  exit = (status) => {
    if (exitedAt !== undefined) {
      report('the process exits twice');
      return;
    }
    if (firstCauseAt === undefined) report('the process exits without a cause');
    exitedAt = clock.now();
    const latestAt = (firstCauseAt ?? -Infinity) + GRACE_MS - RESERVE_MS;
    if (exitedAt > latestAt) report(`the process exits later than at ${latestAt} ms`);
    const expectedStatus = isFailed ? EXIT_FAILED : 0;
    if (status !== expectedStatus) report(`exit status ${status} in place of ${expectedStatus}`);
    requests.checkExit();
    // Requests that were not accepted are waited for only for a while after the last accepted one.
    const isWaitOver = shutdown.activeRequests() === 0
      && exitedAt >= (closedAt ?? Infinity) + UNUSED_CONNECTION_LIMIT_MS;
    if (exitedAt < latestAt && ends.openRequests() > 0 && !isWaitOver) {
      report(`the process exits with ${ends.openRequests()} requests open`);
    }
    for (const cancelTask of cancelTasks) cancelTask();
  };

  const source = new EventEmitter();
  const signals = createProcessSignals({ on: (name, listener) => source.on(name, listener) });
  let settingsText: string | undefined = settingsTexts.valid;
  let inForce = settingsTexts.valid;
  let isReloadable = false;

  const checkReload = () => {
    if (exitedAt !== undefined || !isReloadable) return;
    if (settingsText === undefined || settingsText === settingsTexts.invalid) return;
    if (inForce !== settingsText) report('the settings of the last SIGHUP are not in force');
  };

  const exitUnstarted = () => {
    exitedAt = clock.now();
    for (const cancelTask of cancelTasks) cancelTask();
  };
  handleProcessFailures({
    on: (event, listener) => source.on(event, listener),
  }, noopLogger, () => {
    ends.endProcess({ reason: 'exception', status: EXIT_FAILED });
  });

  const noteCause = () => {
    firstCauseAt ??= clock.now();
  };

  const startNode = async () => {
    await sleep(start.kernelMs);
    if (start.failsAt === -1) throw new Error('the kernel does not start');
    const stop = createGracefulStop({
      clock,
      graceMs: GRACE_MS,
      shutdown: {
        ...shutdown,
        close: async () => {
          await shutdown.close();
          closedAt ??= clock.now();
        },
      },
      ends,
      listeners: [listeners.caller, listeners.peer],
      mayHaveCallers: listeners.caller.isListening,
      announceStop: () => undefined,
      logger: noopLogger,
    });
    ends.setStop((request: StopRequest) => stop(request));
    const isStopping = () => shutdown.phase() !== 'running';
    await bindListeners(listenerNames.map((name) => ({
      listen: () => {
        if (firstCauseAt !== undefined) report(`${name} is bound although the process is to end`);
        return listeners[name].listen();
      },
      kill: listeners[name].kill,
    })), isStopping);
  };

  const runProcess = async () => {
    if (start.loadMs !== undefined) await sleep(start.loadMs);
    if (signals.isStopRequested()) {
      exitUnstarted();
      return;
    }
    signals.onStop((sinceMs) => ends.endProcess({ reason: 'signal', status: 0, sinceMs }));
    try {
      await startNode();
      signals.onReload(createSettingsCheck({
        source: 'model',
        read: () => settingsText,
        first: settingsTexts.valid,
        reload: ({ service }) => {
          inForce = settingsTextOf(service);
        },
        logger: noopLogger,
      }));
      isReloadable = true;
      checkReload();
    } catch {
      if (exitedAt !== undefined) return;
      noteCause();
      isFailed = true;
      ends.endProcess({ reason: 'failed start', status: EXIT_FAILED });
    }
  };
  runProcess();

  const signal = () => {
    if (exitedAt !== undefined) return;
    noteCause();
    source.emit('SIGTERM');
    if (exitedAt !== undefined || listeners.caller.isListening()) return;
    if (shutdown.phase() === 'leaving') report('the stop waits for callers that cannot connect');
  };

  return {
    ...requests,
    slowDown: (name, delayMs) => listeners[name].slowDown(delayMs),
    signal,
    hangUp: (settings) => {
      settingsText = settingsTexts[settings];
      source.emit('SIGHUP');
      checkReload();
    },
    throwException: () => {
      noteCause();
      isFailed = true;
      source.emit('uncaughtException', new Error('injected exception'));
    },
    advance: clock.advance,
    finish: async () => {
      if (exitedAt === undefined) {
        signal();
        await clock.advance(GRACE_MS);
      }
      if (exitedAt === undefined) report('the process does not exit');
      // Tasks of the owner's promises that are left run in these turns.
      await clock.advance(0);
      if (clock.pending() > 0) report(`${clock.pending()} tasks are pending after the exit`);
    },
    violations,
    hasExited: () => exitedAt !== undefined,
  };
};
