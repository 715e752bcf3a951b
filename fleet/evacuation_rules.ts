import type { Evacuations } from '../directory/mod.ts';

/** What the evacuations of failure domains permit, seen from one node. */
export interface EvacuationRules {
  /** Reports whether the instances of a failure domain may take neither requests nor keys. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Reports whether the failure domain of this node is evacuated. */
  readonly isSelfEvacuated: () => boolean;
  /** Reports whether the owner of a key in a failure domain may still get requests for it. */
  readonly mayServeKeys: (failureDomain: string) => boolean;
  /** Returns why the instance of this host must not get a request; undefined if it may. */
  readonly findObjection: (hasKey: boolean) => string | undefined;
  /** Reports whether the instance of this host must release its keys, even without next owners. */
  readonly mustRelease: () => boolean;
}

/** Options for {@link createEvacuationRules}. */
export interface EvacuationRulesOptions {
  readonly evacuations: Evacuations;
  /** Reports false while this node may have missed an evacuation; true by default. */
  readonly isCurrent?: () => boolean;
  /** Failure domain of this node. */
  readonly failureDomain: string;
  /**
   * Time in ms after an acknowledged evacuation by which no request may reach an instance of the
   * domain; undefined if none is evacuated on this platform.
   */
  readonly boundMs: number | undefined;
}

/**
 * Time in ms for which owners go on serving after their node has learned of the evacuation, so that
 * few requests are refused while the keys are handed over.
 */
const KEY_SERVICE_MS = 1500;
/**
 * Longest time in ms until a node learns of a key of the operator: a watch on a silent connection
 * takes 2.7 s, and a relay's news 0.5 s.
 */
const MAX_LEARNING_MS = 3200;
/**
 * Time in ms for which an owner waits until its keys have next owners. The planner needs 0.1 to
 * 0.4 s, and the announcement after it must still come before the service of the keys ends.
 */
const PLAN_WAIT_MS = 600;

/**
 * Creates the rules of one node.
 *
 * @param options Evacuations, failure domain of the node and the bound of the platform.
 * @returns The rules.
 *
 * @example
 * const objection = rules.findObjection(request.key !== undefined);
 */
export const createEvacuationRules = (options: EvacuationRulesOptions): EvacuationRules => {
  const { evacuations, failureDomain, boundMs } = options;
  const isCurrent = options.isCurrent ?? (() => true);
  const serviceMs = boundMs === undefined
    ? KEY_SERVICE_MS
    : Math.max(0, Math.min(KEY_SERVICE_MS, boundMs - MAX_LEARNING_MS));

  const { isEvacuated } = evacuations;
  const mayServeKeys = (domain: string) => (
    !isEvacuated(domain) || evacuations.evacuatedForMs(domain) < serviceMs
  );

  return {
    isEvacuated,
    isSelfEvacuated: () => isEvacuated(failureDomain),
    mayServeKeys,
    findObjection: (hasKey) => {
      // Platforms without evacuations go on during an outage of the store, as they always have.
      if (boundMs !== undefined && !(evacuations.isKnown() && isCurrent())) {
        return 'the evacuations are not known';
      }
      const isAllowed = hasKey ? mayServeKeys(failureDomain) : !isEvacuated(failureDomain);
      return isAllowed ? undefined : 'the failure domain is evacuated';
    },
    mustRelease: () => (
      isEvacuated(failureDomain) && evacuations.evacuatedForMs(failureDomain) >= PLAN_WAIT_MS
    ),
  };
};
