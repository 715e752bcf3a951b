import type { GrantRequest, UpstreamGrants } from './ownership.ts';
import type { OwnerContext } from './_owner_context.ts';
import {
  splitUnits, type Unit, unitsOf, type UnitState,
} from './_record_index.ts';
import { backoffMs, IDLE_MS, startTask } from './_task.ts';

interface GrantTableOptions extends OwnerContext {
  readonly instance: string;
  /** Missing where the upstream does not check grants. */
  readonly grants: UpstreamGrants | undefined;
}

const GRANT_BACKOFF = { firstMs: 50, limitMs: 2_000 };

const groupByToken = (units: readonly UnitState[]): ReadonlyMap<number, readonly Unit[]> => {
  const groups = new Map<number, Unit[]>();
  for (const { unit, state } of units) {
    const group = groups.get(state.token) ?? [];
    group.push(unit);
    groups.set(state.token, group);
  }
  return groups;
};

/** Grants the settled slots of one owner at its upstream instance. */
export const createGrantTable = (options: GrantTableOptions) => {
  const {
    placements, service, ownerId, grants, logger,
  } = options;
  const tokens = new Map<Unit, number>();
  let failures = 0;

  const isGranted = (unit: Unit, token: number) => !grants || tokens.get(unit) === token;

  const requestFor = (token: number, units: readonly Unit[]): GrantRequest => ({
    service, instance: options.instance, owner: ownerId, token, ...splitUnits(units),
  });

  const grant = async (token: number, units: readonly Unit[]): Promise<boolean> => {
    const outcome = await grants?.grant(requestFor(token, units));
    if (outcome?.isErr()) {
      const reason = outcome.error.message;
      logger.warn({ service, owner: ownerId, reason }, 'the upstream did not accept a grant');
      return false;
    }
    for (const unit of units) tokens.set(unit, token);
    logger.info({ service, owner: ownerId, units: units.length }, 'granted slots at the upstream');
    return true;
  };

  const task = startTask(options.clock, async () => {
    const missing = unitsOf(placements.current(service), ownerId).filter(({ unit, state }) => (
      state.movingTo === undefined && options.isSettled(state) && !isGranted(unit, state.token)
    ));
    const calls = [...groupByToken(missing)].map(([token, units]) => grant(token, units));
    const isComplete = (await Promise.all(calls)).every(Boolean);
    failures = isComplete ? 0 : failures + 1;
    return isComplete ? IDLE_MS : backoffMs(failures, options.random, GRANT_BACKOFF);
  });

  /** Revokes the grants of slots and hot keys that move away. */
  const revoke = async (units: readonly UnitState[]): Promise<boolean> => {
    if (!grants) return true;
    for (const { unit } of units) tokens.delete(unit);
    const calls = [...groupByToken(units)].map(async ([token, group]) => {
      const outcome = await grants.revoke(requestFor(token, group));
      if (outcome.isOk()) return true;
      const reason = outcome.error.message;
      logger.warn({ service, owner: ownerId, reason }, 'the upstream did not revoke a grant');
      return false;
    });
    return (await Promise.all(calls)).every(Boolean);
  };

  return {
    isGranted,
    /** True while the upstream may hold a grant that was not revoked. */
    hasGrant: (unit: Unit) => tokens.has(unit),
    revoke,
    wake: task.wake,
    stop: task.stop,
  };
};
