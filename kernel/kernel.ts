import { StepError } from '../errors/mod.ts';

/** A running service: its public interface and how it stops. */
export interface RunningService<T> {
  readonly service: T;
  readonly stop?: () => Promise<void> | void;
}

/** Finds a started service by name. */
export type FindService = <T>(name: string) => T;

/** How a service is started. */
export interface ServiceDefinition<T> {
  readonly name: string;
  /** Names of the services that must be running before this one starts. */
  readonly needs: readonly string[];
  readonly start: (find: FindService) => Promise<RunningService<T>> | RunningService<T>;
}

/** Starts services in dependency order and lets them find each other by name. */
export interface Kernel {
  readonly register: <T>(definition: ServiceDefinition<T>) => void;
  readonly find: FindService;
  readonly isRunning: (name: string) => boolean;
  readonly start: () => Promise<void>;
  /**
   * Stops the started services in reverse order; a failing stop does not keep the others from
   * stopping.
   */
  readonly stop: () => Promise<void>;
}

/**
 * Creates an empty kernel.
 *
 * @returns The kernel.
 * @throws {StepError} from `register` on a duplicate name, from `find` on an unknown or not yet
 * started name, and from
 * `start` on a missing or circular dependency.
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
    for (const need of definition.needs) await startService(need);
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
        throw new StepError(`service '${definition.name}' is registered twice`, options);
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
