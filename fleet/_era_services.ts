import type { Clock } from '../clock/mod.ts';
import type { FleetView, NodeRegistration, StoreView } from '../directory/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { PlatformSettings } from '../platform/mod.ts';
import {
  createEraRight, createRightToGrant, type EraRight, RIGHT_TO_GRANT_MS,
} from '../ranges/mod.ts';
import { createStoreEras, type LeasedStore, type StoreEras } from '../store/mod.ts';
import type { Logger, NodeMetrics } from '../telemetry/mod.ts';
import { createEraRecovery, type EraRecovery } from './era_recovery.ts';
import type { InstanceRegistry } from './instance_registry.ts';
import { lostAfterMs } from './_range_planner.ts';
import { grantableMs } from './range_controller.ts';
import type { LocalNode } from './_state_services.ts';

/** Time in ms after a rise of the era in which all nodes list the store and write to it again. */
const SETTLING_MS = 5000;

/** Reports whether nodes are still bringing what they know into a restored store. */
export const isSettling = (eras: StoreEras, clock: Pick<Clock, 'now'>): boolean => (
  eras.rises() > 0 && clock.now() - eras.since() < SETTLING_MS
);

/** Registers the services that act when the store has been restored from an older copy. */
export const registerEraServices = (kernel: Kernel, settings: PlatformSettings) => {
  kernel.register<StoreEras>({
    name: 'eras',
    needs: ['clock'],
    start: (find) => ({ service: createStoreEras(find<Clock>('clock')) }),
  });

  kernel.register<EraRight>({
    name: 'right',
    needs: ['clock', 'eras'],
    start: (find) => ({
      service: createEraRight(
        createRightToGrant(find<Clock>('clock'), RIGHT_TO_GRANT_MS),
        find<StoreEras>('eras'),
      ),
    }),
  });

  kernel.register<EraRecovery>({
    name: 'recovery',
    needs: [
      'clock', 'store', 'eras', 'right', 'view', 'fleet', 'registry', 'own-entry', 'self', 'logger',
      'metrics',
    ],
    start: (find) => ({
      service: createEraRecovery({
        clock: find<Clock>('clock'),
        store: find<LeasedStore>('store'),
        eras: find<StoreEras>('eras'),
        right: find<EraRight>('right'),
        grantableMs: () => grantableMs(
          find<EraRight>('right'),
          find<NodeRegistration>('own-entry'),
          find<StoreView>('view'),
        ),
        view: find<StoreView>('view'),
        fleet: find<FleetView>('fleet'),
        logger: find<Logger>('logger'),
        waitMs: lostAfterMs(RIGHT_TO_GRANT_MS),
        isFirstStart: settings.isFirstStart,
        isLocal: (service) => find<InstanceRegistry>('registry').local()?.service === service,
        onDeclaration: () => find<NodeRegistration>('own-entry').update(
          find<LocalNode>('self').entry(),
        ),
        onRewrite: find<NodeMetrics>('metrics').recordRewrite,
      }),
    }),
  });
};
