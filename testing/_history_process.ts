import { createAdmission, createRetryBudget } from '../admission/mod.ts';
import { attemptId, createIdempotencyTable, createRequestLedger } from '../forward/mod.ts';
import { createAttempts, createLocalDispatch, type LocalDispatch } from '../proxy/mod.ts';
import { createRouter } from '../routing/mod.ts';
import { silentLogger, silentMetrics } from '../telemetry/mod.ts';
import { type ProcessOptions, startControlParts } from './_control_parts.ts';
import { createMemoryClient, TRACE_HEADERS } from './_fake_upstream.ts';
import { createMemoryForwarder, createPeerEndpoint } from './_memory_forwarder.ts';

/** One process of a node, built from the parts of the product. */
export type HistoryProcess = ReturnType<typeof createHistoryProcess>;

export const SERVICE = 'ledger';
const UPSTREAM_SLOTS = 8;
const REFRESH_INTERVAL_MS = 1000;
const SPREAD_TIME_MS = 2000;
const DRAIN_TIMEOUT_MS = 60_000;
const FINISH_CHECK_MS = 10;

/** Starts a process of a node. */
export const createHistoryProcess = (options: ProcessOptions) => {
  const {
    node, incarnation, clock, record, planted, links,
  } = options;
  const parts = startControlParts(options);
  const { announcements, uniform, contracts } = parts;
  const instance = `${node}-instance`;
  const admission = createAdmission({ clock, instance, announcedSlots: () => UPSTREAM_SLOTS });
  const client = createMemoryClient(options.upstream, { clock, random: uniform });
  const realDispatch = createLocalDispatch({
    clock,
    ownership: parts.entered,
    contracts: contracts.compiled,
    findUpstream: (name) => (name === instance ? { client, admission } : undefined),
    idempotency: createIdempotencyTable({ clock }),
  });
  const innerDispatch = planted.wrapDispatch?.(realDispatch) ?? realDispatch;
  let inFlight = 0;
  let isClosed = false;

  const noteRefusal = (requestId: string, attempt: number, end: Awaited<
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
      const end = await innerDispatch({ ...request, headers }, sink);
      noteRefusal(request.requestId, request.attempt, end);
      return end;
    } finally {
      inFlight -= 1;
    }
  };

  const forwarder = createMemoryForwarder({ clock, links });
  const run = createAttempts({
    clock,
    router: createRouter({
      clock,
      membership: parts.membership,
      placements: parts.placements,
      slotOf: options.slotOfKey,
      logger: silentLogger,
      random: uniform,
    }),
    forwarder: {
      ...forwarder,
      send: async (address, request, sink) => {
        const end = await forwarder.send(address, request, sink);
        noteRefusal(request.requestId, request.attempt, end);
        return end;
      },
    },
    dispatch,
    retryBudget: createRetryBudget(),
    metrics: silentMetrics,
    maxWaiting: 100,
  });

  const refresh = () => {
    if (isClosed) return;
    announcements.accept({
      instance,
      service: SERVICE,
      url: 'http://127.0.0.1:1/',
      slots: UPSTREAM_SLOTS,
      connections: UPSTREAM_SLOTS,
    });
    clock.schedule(REFRESH_INTERVAL_MS, refresh);
  };
  refresh();

  const end = () => {
    isClosed = true;
    parts.stop();
  };

  /** The steps of the planned stop of a node, as `startNode` has them. */
  const stop = async () => {
    record('leaving', { node });
    if (!planted.keepsSlots) announcements.drainAll();
    const drained = planted.keepsSlots ? clock.sleep(SPREAD_TIME_MS) : parts.owner.drain();
    await Promise.race([drained, clock.sleep(DRAIN_TIMEOUT_MS)]);
    if (!planted.stopsAtOnce) {
      await clock.sleep(SPREAD_TIME_MS);
      isClosed = true;
      while (inFlight > 0) await clock.sleep(FINISH_CHECK_MS);
      await parts.membership.leave();
    }
    record('planned stop', { node, process: incarnation });
    end();
  };

  return {
    ...parts,
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
