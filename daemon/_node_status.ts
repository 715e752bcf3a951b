import type { Kernel } from '../kernel/mod.ts';
import type { PeerTransport } from '../peer/mod.ts';
import type { Placements } from '../placement/mod.ts';
import type { OwnershipStatus, Status } from '../proto/mod.ts';
import type { Relay } from '../relay/mod.ts';
import { reportedPrefixes } from './_control_services.ts';
import type { LocalUpstreams } from './_local_upstreams.ts';
import type { OwnerService } from './_owner_service.ts';

/** Source of the status of this node. */
export interface NodeStatusSource {
  readonly localStatus: () => Status;
}

/** Registers the status service and the handler of status queries from peers. */
export const registerStatus = (
  kernel: Kernel,
  node: string,
  incarnation: string,
  isDraining: () => boolean,
): void => {
  kernel.register<NodeStatusSource>({
    name: 'status',
    needs: ['transport', 'relay', 'placements', 'upstreams', 'owner'],
    start: (find) => {
      const relay = find<Relay>('relay');
      const placements = find<Placements>('placements');
      const upstreams = find<LocalUpstreams>('upstreams');
      const owner = find<OwnerService>('owner');

      const ownership = (): OwnershipStatus[] => owner.holders().map((holder) => {
        const record = placements.current(holder.service);
        const slots = record?.slots.filter((slot) => slot.owner === holder.ownerId).length ?? 0;
        return {
          service: holder.service,
          owner: holder.ownerId,
          leaseValid: holder.isValid(),
          slots,
          recordVersion: record?.version ?? 0,
        };
      });

      const localStatus = (): Status => ({
        node,
        incarnation,
        versions: reportedPrefixes.flatMap((prefix) => relay.list(prefix)
          .map(({ key, revision }) => ({ key, revision }))),
        ownership: ownership(),
        inFlight: upstreams.inFlight(),
        draining: isDraining(),
      });

      find<PeerTransport>('transport')
        .handle('statusQuery', () => ({ $case: 'status', value: localStatus() }));
      return { service: { localStatus } };
    },
  });
};
