import type { Clock } from '../clock/mod.ts';
import {
  createEvacuations, createPauseGuard, createStoreView, type Evacuations, type FleetView,
  type PauseGuard, type StoreView,
} from '../directory/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import { decodeEvacuatedDomain, OPERATOR_PREFIX, type PlatformSettings } from '../platform/mod.ts';
import type { LeasedStore, StoreEras } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import { fetchPeerChanges } from './changes_message.ts';
import { createEvacuationRules, type EvacuationRules } from './evacuation_rules.ts';
import { askPeersOnFailure } from './peer_evacuations.ts';
import type { RelayAnswers } from './relayed_changes.ts';

/**
 * A connection may go silent for good. A version that is acknowledged meanwhile must be in force
 * once the node counts as sound again, 3 s later, so the wait, the margin and a new watch fit in.
 */
const WATCH_WAIT_MS = 1900;
const WATCH_MARGIN_MS = 800;
/** Maximum wait of a node that also learns from its relays of a change by the operator. */
const RELAYED_WATCH_WAIT_MS = 25_000;
const WATCH_PAUSE_MS = 30;
/** A restored store is up to 30 s old; the operator writes again what it has lost. */
const RETAIN_MS = 30_000;

const listPeers = (fleet: FleetView, self: string) => [...fleet.present().values()]
  .filter(({ node, isStopping }) => node !== self && !isStopping)
  .map(({ peerAddress }) => peerAddress);

/** Registers the view of the operator's keys and what follows from them, but for the contract. */
export const registerOperatorServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<StoreView>({
    name: 'operator-view',
    needs: ['clock', 'store', 'eras', 'logger', 'relay-answers', 'fleet'],
    start: (find) => {
      const service = createStoreView({
        clock: find<Clock>('clock'),
        store: find<LeasedStore>('store'),
        watch: askPeersOnFailure(find<LeasedStore>('store').watch, {
          clock: find<Clock>('clock'),
          peers: () => listPeers(find<FleetView>('fleet'), settings.node),
          fetchChanges: fetchPeerChanges,
          // The evacuations depend on this view, so they start later.
          noteRelayed: (...state) => {
            if (kernel.isRunning('evacuations')) {
              find<Evacuations>('evacuations').noteRelayed(...state);
            }
          },
          logger: find<Logger>('logger'),
        }),
        prefix: OPERATOR_PREFIX,
        logger: find<Logger>('logger'),
        waitMs: () => (
          find<RelayAnswers>('relay-answers').isRecent() ? RELAYED_WATCH_WAIT_MS : WATCH_WAIT_MS
        ),
        marginMs: WATCH_MARGIN_MS,
        pauseMs: () => WATCH_PAUSE_MS,
        retainMs: RETAIN_MS,
        era: find<StoreEras>('eras').current,
      });
      find<StoreEras>('eras').onRise(service.restartWatch);
      return { service };
    },
  });

  kernel.register<PauseGuard>({
    name: 'pause-guard',
    needs: ['clock', 'operator-view', 'logger'],
    start: (find) => {
      const service = createPauseGuard({
        clock: find<Clock>('clock'),
        view: find<StoreView>('operator-view'),
        logger: find<Logger>('logger'),
      });
      return { service, stop: service.stop };
    },
  });

  kernel.register<Evacuations>({
    name: 'evacuations',
    needs: ['clock', 'operator-view', 'pause-guard', 'logger'],
    start: (find) => ({
      service: createEvacuations({
        clock: find<Clock>('clock'),
        view: find<StoreView>('operator-view'),
        failureDomainOf: decodeEvacuatedDomain,
        mayLag: () => !find<PauseGuard>('pause-guard').isCurrent(),
        logger: find<Logger>('logger'),
      }),
    }),
  });

  kernel.register<EvacuationRules>({
    name: 'rules',
    needs: ['evacuations', 'pause-guard'],
    start: (find) => ({
      service: createEvacuationRules({
        evacuations: find<Evacuations>('evacuations'),
        isCurrent: find<PauseGuard>('pause-guard').isCurrent,
        failureDomain: settings.failureDomain,
        boundMs: settings.bounds.evacuationMs,
      }),
    }),
  });
};
