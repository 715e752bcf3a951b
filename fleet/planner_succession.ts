import type { Clock } from '../clock/mod.ts';
import type { Owner } from '../ranges/mod.ts';
import { rankOf } from './_owners.ts';

/** Decides which owner of a service plans its moves. */
export interface PlannerSuccession {
  /** Records that the node of another owner has asked for a load report, as planners do. */
  readonly recordRequest: (from: string) => void;
  /**
   * Reports whether this node plans moves.
   *
   * @param owners Owners of the service, sorted by node.
   */
  readonly isPlanner: (owners: readonly Owner[]) => boolean;
}

/** Options for {@link createPlannerSuccession}. */
export interface PlannerSuccessionOptions {
  readonly clock: Clock;
  readonly node: string;
  /** Reports whether this node sees the newest state and may change it. */
  readonly isAble: () => boolean;
}

/** Time in ms without a request after which a planner is replaced; it sends one each second. */
const PLANNER_TIMEOUT_MS = 3000;
/** Additional wait in ms of each owner after the second, so that one of them takes over. */
const DELAY_PER_RANK_MS = 700;
/** Limits the memory that requests under ever new names can take. */
const MAX_REQUESTERS = 1024;

/**
 * Creates the succession of one node. The first owner by name plans the moves; an entry in the
 * store does not prove that its node works, so each owner takes over while none before it asks for
 * its load. Two planners at a time do no harm, since a record changes by compare-and-swap.
 *
 * @param options Clock, this node, and whether it is able to plan.
 * @returns The succession.
 *
 * @example
 * if (succession.isPlanner(owners)) await collector.collect(owners);
 */
export const createPlannerSuccession = (options: PlannerSuccessionOptions): PlannerSuccession => {
  const { clock, node } = options;
  const requestedAt = new Map<string, number>();
  /** First owner, and the time in ms since which it could have asked for the load. */
  let first: { readonly node: string; readonly since: number } | undefined;

  const lastRequestAt = (before: readonly Owner[], since: number) => {
    let latest = since;
    for (const owner of before) latest = Math.max(latest, requestedAt.get(owner.node) ?? -Infinity);
    return latest;
  };

  return {
    recordRequest: (from) => {
      if (requestedAt.has(from) || requestedAt.size < MAX_REQUESTERS) {
        requestedAt.set(from, clock.now());
      }
    },
    isPlanner: (owners) => {
      const rank = rankOf(owners, node);
      if (rank >= owners.length) return false;
      const present = new Set(owners.map((owner) => owner.node));
      for (const known of requestedAt.keys()) if (!present.has(known)) requestedAt.delete(known);
      const firstNode = owners[0]!.node;
      if (first?.node !== firstNode) first = { node: firstNode, since: clock.now() };
      if (!options.isAble()) return false;
      if (rank === 0) return true;
      const waitMs = PLANNER_TIMEOUT_MS + (rank - 1) * DELAY_PER_RANK_MS;
      return clock.now() - lastRequestAt(owners.slice(0, rank), first.since) > waitMs;
    },
  };
};
