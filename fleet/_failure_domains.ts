import type { FleetView } from '../directory/mod.ts';
import { splitAddress } from '../http/mod.ts';

/** Creates a lookup of the failure domain of the node at an IP address. */
export const createFailureDomainLookup = (fleet: Pick<FleetView, 'usable' | 'onChange'>) => {
  let domains: ReadonlyMap<string, string> | undefined;
  fleet.onChange(() => {
    domains = undefined;
  });
  const listDomains = () => new Map(fleet.usable().map(({ peerAddress, failureDomain }) => (
    [splitAddress(peerAddress).host, failureDomain]
  )));
  return (ipAddress: string): string | undefined => {
    domains ??= listDomains();
    return domains.get(ipAddress);
  };
};
