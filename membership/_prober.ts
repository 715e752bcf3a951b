import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, MemberUpdate } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type Gossip, sample } from './_gossip.ts';
import { isReachable, type MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';

/** What the prober needs. */
export interface ProberOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  readonly timings: MembershipTimings;
  readonly random: () => number;
  /** Merges the updates of an answer. */
  readonly merge: (updates: readonly MemberUpdate[]) => void;
}

const INDIRECT_PROBES = 3;

const failure = (reason: string): ControlBody => ({
  $case: 'failure', value: { step: 'membership.probe', reason },
});

/**
 * Probes one member per interval in shuffled order, first directly, then through other members, and
 * suspects it when neither is answered. Runs until the signal aborts.
 */
export const runProber = async (options: ProberOptions, signal: AbortSignal): Promise<void> => {
  const {
    clock, transport, table, gossip, timings, random, merge,
  } = options;
  let round: string[] = [];

  transport.handle('ping', ({ updates }, sender) => {
    merge(updates);
    return { $case: 'pong', value: { updates: gossip.updatesFor(sender.node) } };
  });
  // News pushed without a probe.
  transport.handle('pong', ({ updates }) => {
    merge(updates);
    return undefined;
  });
  transport.handle('pingRequest', async ({ targetAddress, updates }) => {
    merge(updates);
    const outcome = await transport.request(
      targetAddress,
      { $case: 'ping', value: { updates: [table.self()] } },
      { timeoutMs: timings.probeTimeoutMs },
    );
    if (outcome.isErr()) return failure(outcome.error.message);
    if (outcome.value.$case !== 'pong') return failure('the target sent no pong');
    merge(outcome.value.value.updates);
    return outcome.value;
  });

  const isAnswerOf = (body: ControlBody, target: MemberUpdate) => {
    if (body.$case !== 'pong') return false;
    merge(body.value.updates);
    // Another process may have taken over the address.
    return body.value.updates.some(({ node }) => node === target.node);
  };

  const probeDirectly = async (target: MemberUpdate) => {
    const outcome = await transport.request(
      target.controlAddress,
      { $case: 'ping', value: { updates: gossip.updatesFor(target.node) } },
      { timeoutMs: timings.probeTimeoutMs },
    );
    return outcome.isOk() && isAnswerOf(outcome.value, target);
  };

  const probeIndirectly = async (target: MemberUpdate) => {
    const helpers = table.reachable().filter(({ node }) => (
      node !== target.node && node !== table.self().node
    ));
    const { controlAddress: targetAddress } = target;
    const answers = sample(helpers, INDIRECT_PROBES, random).map(async (helper) => {
      const outcome = await transport.request(
        helper.controlAddress,
        { $case: 'pingRequest', value: { targetAddress, updates: [target] } },
        { timeoutMs: timings.indirectTimeoutMs },
      );
      return outcome.isOk() && isAnswerOf(outcome.value, target);
    });
    return (await Promise.all(answers)).includes(true);
  };

  const nextTarget = (): MemberUpdate | undefined => {
    if (round.length === 0) {
      const nodes = table.reachable().map(({ node }) => node);
      round = [...sample(nodes, nodes.length, random)];
    }
    while (round.length > 0) {
      const target = table.get(round.pop()!);
      if (target && target.node !== table.self().node && isReachable(target)) return target;
    }
    return undefined;
  };

  await clock.sleep(timings.probeIntervalMs * random(), signal);
  while (!signal.aborted) {
    const startedAtMs = clock.now();
    const target = nextTarget();
    if (target !== undefined) {
      const answered = await probeDirectly(target) || await probeIndirectly(target);
      if (!answered && !signal.aborted) {
        const { node, controlAddress } = target;
        options.logger.info({ node, peer: controlAddress }, 'no answer to a probe; suspected');
        table.suspect(target);
      }
    }
    await clock.sleep(timings.probeIntervalMs - (clock.now() - startedAtMs), signal);
  }
};
