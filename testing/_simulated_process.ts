import { createAdmission, createRetryBudget } from '../admission/mod.ts';
import { attemptId, createIdempotencyTable, createRequestLedger } from '../forward/mod.ts';
import { createAttemptRunner, createLocalDispatch, type LocalDispatch } from '../proxy/mod.ts';
import { createRouter } from '../routing/mod.ts';
import { noopLogger, noopMetrics } from '../telemetry/mod.ts';
import { type ProcessOptions, startControlPlane } from './_control_plane.ts';
import { createMemoryUpstreamClient, TRACE_HEADERS } from './_fake_upstream.ts';
import { createMemoryForwarder, createPeerEndpoint } from './_memory_forwarder.ts';

/** One process of a node, built from the components of the product. */
export type SimulatedProcess = ReturnType<typeof createSimulatedProcess>;

export const SERVICE = 'ledger';
const UPSTREAM_SLOTS = 8;
const REFRESH_INTERVAL_MS = 1000;
const PROPAGATION_DELAY_MS = 2000;
const DRAIN_TIMEOUT_MS = 60_000;
const IN_FLIGHT_POLL_MS = 10;

/** Starts a process of a node in the simulation. */
export const createSimulatedProcess = (options: ProcessOptions) => {
  const {
    node, incarnation, clock, record, defects, links,
  } = options;
  const controlPlane = startControlPlane(options);
  const { announcements, uniform, contracts } = controlPlane;
  const instance = `${node}-instance`;
  const admission = createAdmission({ clock, instance, announcedSlots: () => UPSTREAM_SLOTS });
  const client = createMemoryUpstreamClient(options.upstream, { clock, random: uniform });
  const realDispatch = createLocalDispatch({
    clock,
    ownership: controlPlane.recordedOwnership,
    contracts: contracts.compiled,
    findUpstream: (name) => (name === instance ? { client, admission } : undefined),
    idempotency: createIdempotencyTable({ clock }),
  });
  const wrappedDispatch = defects.wrapDispatch?.(realDispatch) ?? realDispatch;
  let inFlight = 0;
  let isClosed = false;

  const recordRefusal = (requestId: string, attempt: number, end: Awaited<
    ReturnType<LocalDispatch>>) => {
    if (end.kind !== 'refused') return;
    const { outcome, message } = end.refusal;
    record('refusal', {
      request: requestId, attempt: attemptId(requestId, attempt), outcome, reason: message,
    });
  };

  const dispatch: LocalDispatch = async (request, sink) => {
    inFlight += 1;
    try {
      const attempt = attemptId(request.requestId, request.attempt);
      const headers = [...request.headers, TRACE_HEADERS.attempt, attempt];
      const end = await wrappedDispatch({ ...request, headers }, sink);
      recordRefusal(request.requestId, request.attempt, end);
      return end;
    } finally {
      inFlight -= 1;
    }
  };

  const forwarder = createMemoryForwarder({ clock, links });
  const run = createAttemptRunner({
    clock,
    router: createRouter({
      clock,
      membership: controlPlane.membership,
      placements: controlPlane.placements,
      slotOf: options.slotOfKey,
      logger: noopLogger,
      random: uniform,
    }),
    forwarder: {
      ...forwarder,
      send: async (address, request, sink) => {
        const end = await forwarder.send(address, request, sink);
        recordRefusal(request.requestId, request.attempt, end);
        return end;
      },
    },
    dispatch,
    retryBudget: createRetryBudget(),
    metrics: noopMetrics,
    maxWaiting: 100,
  });

  const announce = () => {
    if (isClosed) return;
    announcements.accept({
      instance,
      service: SERVICE,
      url: 'http://127.0.0.1:1/',
      slots: UPSTREAM_SLOTS,
      connections: UPSTREAM_SLOTS,
    });
    clock.schedule(REFRESH_INTERVAL_MS, announce);
  };
  announce();

  const shutDown = () => {
    isClosed = true;
    controlPlane.stop();
  };

  /** Performs a planned stop in the same steps as `startNode` does. */
  const stop = async () => {
    record('leaving', { node });
    if (!defects.keepsSlots) announcements.drainAll();
    const drained = defects.keepsSlots
      ? clock.sleep(PROPAGATION_DELAY_MS)
      : controlPlane.owner.drain();
    await Promise.race([drained, clock.sleep(DRAIN_TIMEOUT_MS)]);
    if (!defects.stopsImmediately) {
      await clock.sleep(PROPAGATION_DELAY_MS);
      isClosed = true;
      while (inFlight > 0) await clock.sleep(IN_FLIGHT_POLL_MS);
      await controlPlane.membership.leave();
    }
    record('planned stop', { node, process: incarnation });
    shutDown();
  };

  return {
    ...controlPlane,
    node,
    incarnation,
    clock,
    endpoint: createPeerEndpoint({ clock, ledger: createRequestLedger({ clock }), dispatch }),
    isOpen: () => !isClosed,
    run: async (...call: Parameters<typeof run>) => {
      inFlight += 1;
      try {
        return await run(...call);
      } finally {
        inFlight -= 1;
      }
    },
    stop,
  };
};
