import type { Clock } from '../clock/mod.ts';
import { createEvacuations, createStoreView } from '../directory/mod.ts';
import { decodeEvacuatedDomain, EVACUATE_PREFIX, OPERATOR_PREFIX } from '../platform/mod.ts';
import type { LeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEvacuationRules } from './evacuation_rules.ts';

export const TEST_BOUND_MS = 5000;

/** Creates the rules of a node and the view that they follow, which the caller has to start. */
export const createTestRules = (clock: Clock, store: LeasedStore, failureDomain: string) => {
  const operatorView = createStoreView({
    clock,
    store,
    prefix: OPERATOR_PREFIX,
    logger: noopLogger,
    waitMs: () => 1900,
    pauseMs: () => 30,
  });
  const evacuations = createEvacuations({
    clock, view: operatorView, failureDomainOf: decodeEvacuatedDomain, logger: noopLogger,
  });
  const rules = createEvacuationRules({ evacuations, failureDomain, boundMs: TEST_BOUND_MS });
  return { operatorView, rules };
};

/** Creates a function that begins or ends the evacuation of a failure domain. */
export const createEvacuator = (store: LeasedStore) => (
  async (failureDomain: string, isEvacuated: boolean) => {
    const key = `${EVACUATE_PREFIX}${failureDomain}`;
    await store.transact({
      expect: [],
      puts: isEvacuated ? [{ key, value: '{}' }] : [],
      removals: isEvacuated ? [] : [key],
    });
  }
);
