import type { GrantRequest, UpstreamGrants } from './ownership.ts';
import type { OwnerContext } from './_owner_context.ts';
import {
  splitUnits, type PlacementUnit, unitsOwnedBy, type PlacementUnitState,
} from './_record_index.ts';
import { backoffMs, IDLE_DELAY_MS, startTask } from './_task.ts';

interface GrantTableOptions extends OwnerContext {
  readonly instance: string;
  /** Absent when the upstream does not check grants. */
  readonly grants: UpstreamGrants | undefined;
}

const GRANT_BACKOFF = { initialMs: 50, maxMs: 2_000 };

const groupByToken = (
  units: readonly PlacementUnitState[],
): ReadonlyMap<number, readonly PlacementUnit[]> => {
  const groups = new Map<number, PlacementUnit[]>();
  for (const { unit, state } of units) {
    const group = groups.get(state.token) ?? [];
    group.push(unit);
    groups.set(state.token, group);
  }
  return groups;
};

/**
 * Grants slots and hot keys of one owner at its upstream instance, once the leases of their former
 * owners have ended.
 */
export const createGrantTable = (options: GrantTableOptions) => {
  const {
    placements, service, ownerId, grants, logger,
  } = options;
  const grantedTokens = new Map<PlacementUnit, number>();
  let failures = 0;

  const isGranted = (unit: PlacementUnit, token: number) => (
    !grants || grantedTokens.get(unit) === token
  );

  const requestFor = (token: number, units: readonly PlacementUnit[]): GrantRequest => ({
    service, instance: options.instance, owner: ownerId, token, ...splitUnits(units),
  });

  const grant = async (token: number, units: readonly PlacementUnit[]): Promise<boolean> => {
    const outcome = await grants?.grant(requestFor(token, units));
    if (outcome?.isErr()) {
      const reason = outcome.error.message;
      logger.warn({ service, owner: ownerId, reason }, 'upstream did not accept a grant');
      return false;
    }
    for (const unit of units) grantedTokens.set(unit, token);
    logger.info({ service, owner: ownerId, units: units.length }, 'upstream accepted a grant');
    return true;
  };

  const task = startTask(options.clock, async () => {
    const ungranted = unitsOwnedBy(placements.current(service), ownerId)
      .filter(({ unit, state }) => (
        state.movingTo === undefined
        && options.havePredecessorsEnded(state)
        && !isGranted(unit, state.token)
      ));
    const calls = [...groupByToken(ungranted)].map(([token, units]) => grant(token, units));
    const isComplete = (await Promise.all(calls)).every(Boolean);
    failures = isComplete ? 0 : failures + 1;
    return isComplete ? IDLE_DELAY_MS : backoffMs(failures, options.random, GRANT_BACKOFF);
  });

  /** Revokes the grants of slots and hot keys that move to another owner. */
  const revoke = async (units: readonly PlacementUnitState[]): Promise<boolean> => {
    if (!grants) return true;
    for (const { unit } of units) grantedTokens.delete(unit);
    const calls = [...groupByToken(units)].map(async ([token, group]) => {
      const outcome = await grants.revoke(requestFor(token, group));
      if (outcome.isOk()) return true;
      const reason = outcome.error.message;
      logger.warn({ service, owner: ownerId, reason }, 'upstream did not revoke a grant');
      return false;
    });
    return (await Promise.all(calls)).every(Boolean);
  };

  return {
    isGranted,
    /** True while the upstream may have a grant of the unit that was not revoked. */
    mayHoldGrant: (unit: PlacementUnit) => grantedTokens.has(unit),
    revoke,
    wake: task.wake,
    stop: task.stop,
  };
};
