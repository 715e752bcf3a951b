import type { Clock } from '../clock/mod.ts';
import { createEvacuations, createStoreView } from '../directory/mod.ts';
import { decodeEvacuatedDomain, EVACUATE_PREFIX, OPERATOR_PREFIX } from '../platform/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEvacuationRules } from './evacuation_rules.ts';

export const TEST_BOUND_MS = 5000;

/** Creates the rules of a node and the view that they follow, which the caller has to start. */
export const createTestRules = (
  clock: Clock,
  store: LeasedStore,
  failureDomain: string,
  { boundMs = TEST_BOUND_MS, watch = store.watch } = {},
) => {
  const operatorView = createStoreView({
    clock,
    store,
    prefix: OPERATOR_PREFIX,
    logger: noopLogger,
    watch,
    waitMs: () => 1900,
    pauseMs: () => 30,
  });
  const evacuations = createEvacuations({
    clock, view: operatorView, failureDomainOf: decodeEvacuatedDomain, logger: noopLogger,
  });
  const rules = createEvacuationRules({ evacuations, failureDomain, boundMs });
  return { operatorView, evacuations, rules };
};

/**
 * Creates a function that begins or ends the evacuation of failure domains in one write; it
 * returns the revision of the write, or 0 if that fails.
 */
export const createEvacuator = (store: LeasedStore) => (
  async (failureDomains: string | readonly string[], isEvacuated: boolean) => {
    const keys = [failureDomains].flat().map((domain) => `${EVACUATE_PREFIX}${domain}`);
    return (await store.transact({
      expect: [],
      puts: isEvacuated ? keys.map((key) => ({ key, value: '{}' })) : [],
      removals: isEvacuated ? [] : keys,
    })).unwrapOr(0);
  }
);
