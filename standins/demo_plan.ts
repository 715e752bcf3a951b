import type { FleetHostPlan } from './fleet.ts';

interface Deployment {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly services: readonly ServicePlan[];
  readonly slots: number;
  readonly connections: number;
}

interface ServicePlan {
  readonly service: string;
  readonly instances: number;
  readonly checksGrants: boolean;
}

/** The two deployments of `docs/design.md`, scaled down to fit one process. */
const deployments: readonly Deployment[] = [
  {
    region: 'djerid',
    failureDomains: ['tozeur', 'nefta', 'degache'],
    slots: 6,
    connections: 130,
    services: [
      { service: 'turn-ledger', instances: 3, checksGrants: true },
      { service: 'sluice-control', instances: 2, checksGrants: false },
      { service: 'channel-archive', instances: 2, checksGrants: false },
    ],
  },
  {
    region: 'semenanjung',
    failureDomains: ['zon-shah-alam', 'zon-cyberjaya', 'zon-ipoh'],
    slots: 9,
    connections: 70,
    services: [
      { service: 'kalendar', instances: 3, checksGrants: false },
      { service: 'penyerahan', instances: 2, checksGrants: false },
      { service: 'arkib-pek', instances: 2, checksGrants: false },
    ],
  },
];

const planDeployment = (deployment: Deployment): readonly FleetHostPlan[] => {
  const plans: FleetHostPlan[] = [];
  for (const { service, instances, checksGrants } of deployment.services) {
    for (let number = 1; number <= instances; number += 1) {
      const { failureDomains } = deployment;
      plans.push({
        node: `${deployment.region}-${plans.length + 1}`,
        region: deployment.region,
        failureDomain: failureDomains[plans.length % failureDomains.length]!,
        instance: `${service}-${number}`,
        service,
        slots: deployment.slots,
        connections: deployment.connections,
        behaviour: { checksGrants },
      });
    }
  }
  return plans;
};

/** Hosts of the demonstration. */
export const demoPlan: readonly FleetHostPlan[] = deployments.flatMap(planDeployment);
