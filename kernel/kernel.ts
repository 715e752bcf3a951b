import { StepError } from '../errors/mod.ts';

/** A running service: its public interface and the function that stops it. */
export interface RunningService<T> {
  readonly service: T;
  readonly stop?: () => Promise<void> | void;
}

/** Returns a running service by name. Throws when it is not running. */
export type FindService = <T>(name: string) => T;

/** Name, dependencies and start function of a service. */
export interface ServiceDefinition<T> {
  readonly name: string;
  /** Names of the services that must be running before this one starts. */
  readonly needs: readonly string[];
  readonly start: (find: FindService) => Promise<RunningService<T>> | RunningService<T>;
}

/** A service container: starts services in dependency order and looks them up by name. */
export interface Kernel {
  readonly register: <T>(definition: ServiceDefinition<T>) => void;
  readonly find: FindService;
  readonly isRunning: (name: string) => boolean;
  readonly start: () => Promise<void>;
  /**
   * Stops the running services in reverse order of their start. When one fails to stop, the others
   * are stopped all the same, and the call rejects.
   */
  readonly stop: () => Promise<void>;
}

/**
 * Creates a kernel without services.
 *
 * @returns The kernel.
 * @throws {StepError} from `register` on a duplicate name, from `find` on a service that is not
 * running, from `start` on a missing or circular dependency, and from `stop` on a failure.
 *
 * @example
 * const kernel = createKernel();
 * kernel.register({ name: 'clock', needs: [], start: () => ({ service: createSystemClock() }) });
 * await kernel.start();
 * const clock = kernel.find<Clock>('clock');
 */
export const createKernel = (): Kernel => {
  const definitions = new Map<string, ServiceDefinition<unknown>>();
  const running = new Map<string, RunningService<unknown>>();
  const starting = new Set<string>();

  const find: FindService = <T>(name: string): T => {
    const entry = running.get(name);
    if (entry === undefined) {
      throw new StepError(`service '${name}' is not running`, { step: 'kernel.find' });
    }
    return entry.service as T;
  };

  const startService = async (name: string): Promise<void> => {
    if (running.has(name)) return;
    const definition = definitions.get(name);
    const step = 'kernel.start';
    if (definition === undefined) {
      throw new StepError(`service '${name}' is not registered`, { step });
    }
    if (starting.has(name)) throw new StepError(`service '${name}' depends on itself`, { step });
    starting.add(name);
    for (const dependency of definition.needs) await startService(dependency);
    running.set(name, await definition.start(find));
    starting.delete(name);
  };

  const stop = async () => {
    const failures: unknown[] = [];
    for (const [name, entry] of [...running].reverse()) {
      try {
        await entry.stop?.();
      } catch (error) {
        failures.push(error);
      }
      running.delete(name);
    }
    if (failures.length > 0) {
      const options = { step: 'kernel.stop', cause: failures[0] };
      throw new StepError(`${failures.length} services failed to stop`, options);
    }
  };

  return {
    register: (definition) => {
      if (definitions.has(definition.name)) {
        const options = { step: 'kernel.register' };
        throw new StepError(`service '${definition.name}' is already registered`, options);
      }
      definitions.set(definition.name, definition);
    },
    find,
    isRunning: (name) => running.has(name),
    start: async () => {
      for (const name of definitions.keys()) await startService(name);
    },
    stop,
  };
};
