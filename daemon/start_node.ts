import type { Clock } from '../clock/mod.ts';
import { createKernel } from '../kernel/mod.ts';
import { createEndOwner, type EndOwner, type StopRequest } from '../lifecycle/mod.ts';
import type { Membership } from '../membership/mod.ts';
import type { GrpcTransport } from '../peer/mod.ts';
import type { Status } from '../proto/mod.ts';
import {
  createLogger, createMetrics, type Logger, type Metrics, noopMetrics,
} from '../telemetry/mod.ts';
import type { Announcements } from './announcements.ts';
import {
  createIncarnationId, type NodeAddresses, registerControlServices,
} from './_control_services.ts';
import { createNodeStop, type NodeStop } from './_node_stop.ts';
import { type NodeStatusSource, registerStatus } from './_node_status.ts';
import { type OperatorListener, registerOperatorServices } from './_operator_services.ts';
import type { OwnerService } from './_owner_service.ts';
import { registerOwnershipServices } from './_ownership_services.ts';
import { type BoundListener, registerRequestServices } from './_request_services.ts';
import type { Settings } from './settings.ts';

/** Options of a node. */
export interface NodeOptions {
  readonly clock: Clock;
  /** Destination of the log lines; standard output by default. */
  readonly logStream?: NodeJS.WritableStream;
  /** Owner of the ends of connections and of the process; by default, one that ends no process. */
  readonly ends?: EndOwner;
}

/** A running node. */
export interface RunningNode {
  readonly addresses: NodeAddresses;
  readonly status: () => Status;
  /** Transfers all slots to other nodes. The node continues to answer and forward requests. */
  readonly drain: () => Promise<void>;
  /**
   * Shuts down gracefully: drains, completes the requests in flight and stops. By default, the
   * stop is planned. Rejects when a step failed, once the other ones have been run.
   */
  readonly stop: (request?: StopRequest) => Promise<void>;
  /** Stops at once without a handover, as a crash of the process does. */
  readonly kill: () => Promise<void>;
}

/** A graceful shutdown waits at most this long for the transfer of its slots. */
const DRAIN_TIMEOUT_MS = 60_000;

/**
 * Starts a node.
 *
 * @param settings Validated settings.
 * @param options Clock and destination of the log lines.
 * @returns The running node, with all its listeners bound.
 * @throws {StepError} when an address cannot be bound or a key file cannot be read.
 *
 * @example
 * const node = await startNode(settings, { clock: createSystemClock() });
 * await node.stop();
 */
export const startNode = async (settings: Settings, options: NodeOptions): Promise<RunningNode> => {
  const { clock } = options;
  const kernel = createKernel();
  const incarnation = createIncarnationId(clock);
  const logger = createLogger('node', {
    level: settings.log.level,
    node: settings.node,
    ...(options.logStream === undefined ? {} : { stream: options.logStream }),
  });
  const ends = options.ends ?? createEndOwner({ clock, logger, exit: () => undefined });
  let draining = false;
  let nodeStop: NodeStop | undefined;

  const drain = async () => {
    draining = true;
    kernel.find<Announcements>('announcements').drainAll();
    const timeout = new AbortController();
    await Promise.race([
      kernel.find<OwnerService>('owner').drain(),
      clock.sleep(DRAIN_TIMEOUT_MS, timeout.signal),
    ]);
    timeout.abort();
  };

  kernel.register<Clock>({ name: 'clock', needs: [], start: () => ({ service: clock }) });
  kernel.register<Logger>({ name: 'logger', needs: [], start: () => ({ service: logger }) });
  kernel.register<EndOwner>({ name: 'ends', needs: [], start: () => ({ service: ends }) });
  kernel.register<Metrics>({
    name: 'metrics',
    needs: [],
    start: () => {
      const metrics = settings.metrics === undefined
        ? noopMetrics
        : createMetrics({ ...settings.metrics, node: settings.node });
      return { service: metrics, stop: metrics.close };
    },
  });
  registerControlServices(kernel, settings, incarnation);
  registerOwnershipServices(kernel, settings.node, incarnation);
  registerRequestServices(kernel, settings, () => nodeStop?.isPlanned() === true);
  registerStatus(kernel, settings.node, incarnation, () => draining);
  registerOperatorServices(kernel, settings, drain);
  try {
    await kernel.start();
  } catch (error) {
    await kernel.stop();
    throw error;
  }

  const membership = kernel.find<Membership>('membership');
  const announcements = kernel.find<Announcements>('announcements');
  announcements.onChange(() => membership.updateInstances(announcements.instances()));

  const addresses: NodeAddresses = {
    caller: kernel.find<BoundListener>('caller-listener').address,
    peer: kernel.find<BoundListener>('peer-listener').address,
    control: kernel.find<GrpcTransport>('transport').address,
    operator: kernel.find<OperatorListener>('operator-listener').address,
  };
  const createdStop = createNodeStop({
    clock,
    ends,
    drain,
    listeners: [
      kernel.find<BoundListener>('caller-listener'), kernel.find<BoundListener>('peer-listener'),
    ],
    leave: membership.leave,
    stopServices: kernel.stop,
    logger,
  });
  nodeStop = createdStop;
  logger.info({ addresses, incarnation }, 'started');

  return {
    addresses,
    status: kernel.find<NodeStatusSource>('status').localStatus,
    drain,
    stop: (request = { sinceMs: 0, isPlanned: true }) => createdStop.stop(request),
    kill: async () => {
      for (const name of ['caller-listener', 'peer-listener']) {
        if (kernel.isRunning(name)) kernel.find<BoundListener>(name).kill();
      }
      await kernel.stop();
    },
  };
};
