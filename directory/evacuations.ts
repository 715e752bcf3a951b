import type { Clock } from '../clock/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { StoreView } from './store_view.ts';

/** The failure domains that the operator has evacuated, as this node knows them. */
export interface Evacuations {
  /** Returns whether a failure domain is evacuated. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Returns false until the operator's keys have been read once. */
  readonly isKnown: () => boolean;
  /**
   * Time in ms since this node learned that a failure domain is evacuated; 0 while it is not.
   * Infinity if the evacuation began at an unknown time before, as it does for a node that starts.
   */
  readonly evacuatedForMs: (failureDomain: string) => number;
  /** Time in ms since the last evacuation of a failure domain ended; Infinity if none was seen. */
  readonly endedForMs: (failureDomain: string) => number;
  /** Evacuated failure domains in this node's own view of the store, for nodes that rely on it. */
  readonly stored: () => readonly string[];
  /**
   * Applies what a relay has in its view of the store. It counts while it is newer than the view of
   * this node, which may be cut off from the store.
   *
   * @param revision Revision of the newest change by the operator that the relay has seen.
   * @param failureDomains Failure domains that are evacuated since then.
   * @param isLate Whether these evacuations may have begun long before.
   */
  readonly noteRelayed: (
    revision: number,
    failureDomains: readonly string[],
    isLate?: boolean,
  ) => void;
  /** Number of evacuated failure domains. */
  readonly count: () => number;
  /** Adds a listener that is called after each begin or end of an evacuation. */
  readonly onChange: (listener: () => void) => void;
}

/** Options for `createEvacuations`. */
export interface EvacuationsOptions {
  readonly clock: Clock;
  /** View of the operator's keys. */
  readonly view: Pick<StoreView, 'entries' | 'isLoaded' | 'onChange' | 'revision'>;
  /** Returns the failure domain that a key evacuates; undefined for any other key. */
  readonly failureDomainOf: (key: string) => string | undefined;
  /** Returns whether the view may lag, so that what it learns may have begun long before. */
  readonly mayLag?: () => boolean;
  readonly logger: Logger;
}

/**
 * Creates the evacuations that a store view contains. They are compared as a whole at each change
 * of the view, so a request costs one look-up.
 *
 * @param options Clock, view of the operator's keys, their decoder and the logger.
 * @returns The evacuations, which follow the view.
 *
 * @example
 * const evacuations = createEvacuations({ clock, view, failureDomainOf, logger });
 * if (evacuations.isEvacuated('zone-b')) chooseElsewhere();
 */
export const createEvacuations = (options: EvacuationsOptions): Evacuations => {
  const { clock, view, failureDomainOf } = options;
  const logger = options.logger.forComponent('evacuation');
  /** Monotonic time in ms at which this node learned of each evacuation; -Infinity if unknown. */
  const learnedAt = new Map<string, number>();
  const endedAt = new Map<string, number>();
  const listeners: (() => void)[] = [];
  /** The newest state that a relay has told. */
  let relayed: { readonly revision: number; readonly domains: ReadonlySet<string> } | undefined;

  const listStored = (): ReadonlySet<string> => {
    const domains = new Set<string>();
    for (const { key } of view.entries()) {
      const failureDomain = failureDomainOf(key);
      if (failureDomain !== undefined) domains.add(failureDomain);
    }
    return domains;
  };

  const begin = (failureDomain: string, isMissed: boolean) => {
    learnedAt.set(failureDomain, isMissed ? -Infinity : clock.now());
    logger.info({ failureDomain, isMissed }, 'a failure domain is evacuated');
  };

  const end = (failureDomain: string) => {
    const since = learnedAt.get(failureDomain) ?? -Infinity;
    const lastedMs = Number.isFinite(since) ? Math.round(clock.now() - since) : undefined;
    learnedAt.delete(failureDomain);
    endedAt.set(failureDomain, clock.now());
    logger.info({ failureDomain, lastedMs }, 'the evacuation of a failure domain has ended');
  };

  const update = (isMissed: boolean) => {
    const isRelayNewer = relayed !== undefined && relayed.revision > view.revision();
    const domains = isRelayNewer ? relayed!.domains : listStored();
    const isLate = isMissed || options.mayLag?.() === true;
    const begun = [...domains].filter((failureDomain) => !learnedAt.has(failureDomain));
    const ended = [...learnedAt.keys()].filter((failureDomain) => !domains.has(failureDomain));
    for (const failureDomain of begun) begin(failureDomain, isLate);
    for (const failureDomain of ended) end(failureDomain);
    if (begun.length + ended.length === 0) return;
    for (const listener of listeners) listener();
  };

  view.onChange(({ mayMissChanges }) => update(mayMissChanges));
  update(true);

  return {
    isEvacuated: (failureDomain) => learnedAt.has(failureDomain),
    isKnown: () => view.isLoaded() || relayed !== undefined,
    evacuatedForMs: (failureDomain) => {
      const since = learnedAt.get(failureDomain);
      return since === undefined ? 0 : clock.now() - since;
    },
    endedForMs: (failureDomain) => clock.now() - (endedAt.get(failureDomain) ?? -Infinity),
    stored: () => [...listStored()],
    noteRelayed: (revision, failureDomains, isLate = false) => {
      if (revision < (relayed?.revision ?? 0)) return;
      const isFirst = relayed === undefined && !view.isLoaded();
      relayed = { revision, domains: new Set(failureDomains) };
      update(isFirst || isLate);
    },
    count: () => learnedAt.size,
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
};
