import type { Clock } from '../clock/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { ControlBody, MemberUpdate } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { type Gossip, sample } from './_gossip.ts';
import { isReachable, type MemberTable } from './_member_table.ts';
import type { MembershipTimings } from './_timings.ts';

/** Options for `runProber`. */
export interface ProberOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly logger: Logger;
  readonly table: MemberTable;
  readonly gossip: Gossip;
  readonly timings: MembershipTimings;
  readonly random: () => number;
  /** Merges the updates that a message carries. */
  readonly merge: (updates: readonly MemberUpdate[]) => void;
}

const INDIRECT_PROBE_COUNT = 3;

const failure = (reason: string): ControlBody => ({
  $case: 'failure', value: { step: 'membership.probe', reason },
});

/**
 * Runs the failure detector until the signal aborts. It probes one member per interval in shuffled
 * order, first directly and then through other members, and marks it as suspected if no probe is
 * acknowledged.
 */
export const runProber = async (options: ProberOptions, signal: AbortSignal): Promise<void> => {
  const {
    clock, transport, table, gossip, timings, random, merge,
  } = options;
  let probeOrder: string[] = [];

  transport.handle('ping', ({ updates }, sender) => {
    merge(updates);
    return { $case: 'pong', value: { updates: gossip.updatesFor(sender.node) } };
  });
  // Handles updates that are pushed without a probe.
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
    if (outcome.value.$case !== 'pong') return failure('the target did not reply with a pong');
    merge(outcome.value.value.updates);
    return outcome.value;
  });

  const mergeAndMatchTarget = (body: ControlBody, target: MemberUpdate) => {
    if (body.$case !== 'pong') return false;
    merge(body.value.updates);
    // Another process may use the address now, so the reply must contain the target itself.
    return body.value.updates.some(({ node }) => node === target.node);
  };

  const probeDirectly = async (target: MemberUpdate) => {
    const outcome = await transport.request(
      target.controlAddress,
      { $case: 'ping', value: { updates: gossip.updatesFor(target.node) } },
      { timeoutMs: timings.probeTimeoutMs },
    );
    return outcome.isOk() && mergeAndMatchTarget(outcome.value, target);
  };

  const probeIndirectly = async (target: MemberUpdate) => {
    const intermediaries = table.reachable().filter(({ node }) => (
      node !== target.node && node !== table.self().node
    ));
    const { controlAddress: targetAddress } = target;
    const acks = sample(intermediaries, INDIRECT_PROBE_COUNT, random).map(async (intermediary) => {
      const outcome = await transport.request(
        intermediary.controlAddress,
        { $case: 'pingRequest', value: { targetAddress, updates: [target] } },
        { timeoutMs: timings.indirectTimeoutMs },
      );
      return outcome.isOk() && mergeAndMatchTarget(outcome.value, target);
    });
    return (await Promise.all(acks)).includes(true);
  };

  const nextTarget = (): MemberUpdate | undefined => {
    if (probeOrder.length === 0) {
      const nodes = table.reachable().map(({ node }) => node);
      probeOrder = [...sample(nodes, nodes.length, random)];
    }
    while (probeOrder.length > 0) {
      const target = table.get(probeOrder.pop()!);
      if (target && target.node !== table.self().node && isReachable(target)) return target;
    }
    return undefined;
  };

  await clock.sleep(timings.probeIntervalMs * random(), signal);
  while (!signal.aborted) {
    const startedAtMs = clock.now();
    const target = nextTarget();
    if (target !== undefined) {
      const isAcked = await probeDirectly(target) || await probeIndirectly(target);
      if (!isAcked && !signal.aborted) {
        const { node, controlAddress } = target;
        options.logger.info({ node, peer: controlAddress }, 'member is suspected: no probe reply');
        table.suspect(target);
      }
    }
    await clock.sleep(timings.probeIntervalMs - (clock.now() - startedAtMs), signal);
  }
};
