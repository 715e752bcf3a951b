import {
  createCustomerLimits, createRetryBudget, type CustomerLimits, type RetryBudget,
} from '../admission/mod.ts';
import type { Clock } from '../clock/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  createForwarder, createIdempotencyTable, createRequestLedger, type Forwarder,
} from '../forward/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { EndOwner } from '../lifecycle/mod.ts';
import type { Ownership } from '../lease/mod.ts';
import type { Membership } from '../membership/mod.ts';
import { loadTlsMaterial, type PeerTransport } from '../peer/mod.ts';
import type { LoadReports, Placements, SlotOfKey } from '../placement/mod.ts';
import {
  createCallerListener, createLocalDispatch, createPeerListener, type HttpListener,
  type LocalDispatch,
} from '../proxy/mod.ts';
import { createRouter, type Router } from '../routing/mod.ts';
import type { Logger, Metrics } from '../telemetry/mod.ts';
import type { Announcements } from './announcements.ts';
import type { Contracts } from './contracts.ts';
import { createLocalUpstreams, type LocalUpstreams } from './_local_upstreams.ts';
import type { Settings } from './settings.ts';

/** A listener and its bound address. */
export interface BoundListener extends HttpListener {
  readonly address: string;
}

const START_STEP = 'node.start';

/**
 * Creates a dispatch that refuses requests until the `dispatch` service runs. The peer listener
 * starts before it.
 */
const createDeferredDispatch = (kernel: Kernel): LocalDispatch => {
  let dispatch: LocalDispatch | undefined;
  return async (request, sink) => {
    if (dispatch === undefined && kernel.isRunning('dispatch')) {
      dispatch = kernel.find<LocalDispatch>('dispatch');
    }
    if (dispatch !== undefined) return dispatch(request, sink);
    return {
      kind: 'refused',
      refusal: new RefusalError('the node is starting', {
        step: START_STEP, status: 503, outcome: 'not run',
      }),
      load: undefined,
      timedOut: false,
    };
  };
};

/**
 * Registers the services that handle requests.
 *
 * @param kernel Kernel of the node.
 * @param settings Settings of the node.
 * @param keepsHalfOpen Returns whether a caller that ends its side still gets its responses.
 */
export const registerRequestServices = (
  kernel: Kernel,
  settings: Settings,
  keepsHalfOpen: () => boolean,
): void => {
  const { register } = kernel;

  register<LocalUpstreams>({
    name: 'upstreams',
    needs: ['clock', 'announcements'],
    start: (find) => {
      const upstreams = createLocalUpstreams({
        clock: find<Clock>('clock'),
        announcements: find<Announcements>('announcements'),
      });
      return { service: upstreams, stop: upstreams.stop };
    },
  });

  register<BoundListener>({
    name: 'peer-listener',
    needs: ['clock', 'logger', 'ends', 'upstreams'],
    start: async (find) => {
      const clock = find<Clock>('clock');
      const listener = createPeerListener({
        clock,
        address: settings.listen.peer,
        credential: settings.credentials.fleet,
        ledger: createRequestLedger({ clock }),
        dispatch: createDeferredDispatch(kernel),
        findUpstream: find<LocalUpstreams>('upstreams').find,
        logger: find<Logger>('logger').forComponent('peer'),
        tls: settings.tls && await loadTlsMaterial(settings.tls),
        ends: find<EndOwner>('ends'),
      });
      const address = await listener.listen();
      return { service: { ...listener, address }, stop: listener.stop };
    },
  });

  register<CustomerLimits>({
    name: 'limits',
    needs: ['clock', 'membership', 'transport', 'contracts'],
    start: (find) => {
      const contracts = find<Contracts>('contracts');
      const limits = createCustomerLimits({
        clock: find<Clock>('clock'),
        membership: find<Membership>('membership'),
        transport: find<PeerTransport>('transport'),
        findContract: (customer) => contracts.find(customer)?.contract,
      });
      return { service: limits, stop: limits.stop };
    },
  });

  register<Router>({
    name: 'router',
    needs: ['clock', 'logger', 'membership', 'placements', 'slot-of-key'],
    start: (find) => ({
      service: createRouter({
        clock: find<Clock>('clock'),
        membership: find<Membership>('membership'),
        placements: find<Placements>('placements'),
        slotOf: find<SlotOfKey>('slot-of-key'),
        logger: find<Logger>('logger').forComponent('routing'),
        random: Math.random,
      }),
    }),
  });

  register<Forwarder>({
    name: 'forwarder',
    needs: ['clock'],
    start: async (find) => {
      const forwarder = createForwarder({
        clock: find<Clock>('clock'),
        credential: settings.credentials.fleet,
        tls: settings.tls && await loadTlsMaterial(settings.tls),
      });
      return { service: forwarder, stop: forwarder.stop };
    },
  });

  register<LocalDispatch>({
    name: 'dispatch',
    needs: ['clock', 'contracts', 'ownership', 'upstreams', 'load-reports'],
    start: (find) => {
      const clock = find<Clock>('clock');
      const ownership = find<Ownership>('ownership');
      const loadReports = find<LoadReports>('load-reports');
      return {
        service: createLocalDispatch({
          clock,
          ownership: {
            acquire: (service, key) => {
              const permit = ownership.acquire(service, key);
              if (permit.isOk()) loadReports.countRequest(service, key);
              return permit;
            },
          },
          contracts: find<Contracts>('contracts').compiled,
          findUpstream: find<LocalUpstreams>('upstreams').find,
          idempotency: createIdempotencyTable({ clock }),
        }),
      };
    },
  });

  register<RetryBudget>({
    name: 'retry-budget',
    needs: [],
    start: () => ({ service: createRetryBudget() }),
  });

  register<BoundListener>({
    name: 'caller-listener',
    needs: ['ends', 'limits', 'router', 'forwarder', 'dispatch', 'retry-budget', 'metrics'],
    start: async (find) => {
      const listener = createCallerListener({
        clock: find<Clock>('clock'),
        address: settings.listen.caller,
        contracts: find<Contracts>('contracts').compiled,
        limits: find<CustomerLimits>('limits'),
        router: find<Router>('router'),
        forwarder: find<Forwarder>('forwarder'),
        dispatch: find<LocalDispatch>('dispatch'),
        retryBudget: find<RetryBudget>('retry-budget'),
        logger: find<Logger>('logger').forComponent('proxy'),
        metrics: find<Metrics>('metrics'),
        ends: find<EndOwner>('ends'),
        keepsHalfOpen,
      });
      const address = await listener.listen();
      return { service: { ...listener, address }, stop: listener.stop };
    },
  });
};
