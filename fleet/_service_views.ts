import type { Evacuations, FleetView } from '../directory/mod.ts';
import type { Kernel } from '../kernel/mod.ts';
import type { ServiceView } from '../routing/mod.ts';
import type { InstanceRegistry } from './instance_registry.ts';

/** Instances warm up and suspect peers recover without a change of the directory. */
const VIEW_REFRESH_MS = 500;

/** Registers the views of the services by name, which are made at their first use. */
export const registerServiceViews = (kernel: Kernel) => {
  kernel.register<Map<string, ServiceView>>({
    name: 'service-views',
    needs: ['clock', 'fleet', 'registry', 'evacuations'],
    start: (find) => {
      const views = new Map<string, ServiceView>();
      const invalidate = () => {
        for (const view of views.values()) view.invalidate();
      };
      find<FleetView>('fleet').onChange(invalidate);
      find<InstanceRegistry>('registry').onChange(invalidate);
      find<Evacuations>('evacuations').onChange(invalidate);
      const timer = setInterval(invalidate, VIEW_REFRESH_MS);
      return { service: views, stop: () => clearInterval(timer) };
    },
  });
};
