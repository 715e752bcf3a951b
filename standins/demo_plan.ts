import { readFileSync } from 'node:fs';
import * as z from 'zod';
import type { FleetHostPlan } from './fleet.ts';

const deploymentSchema = z.strictObject({
  region: z.string(),
  failureDomains: z.array(z.string()).min(1),
  slots: z.int().positive(),
  connections: z.int().positive(),
  services: z.array(z.strictObject({
    service: z.string(),
    instances: z.int().positive(),
    checksGrants: z.boolean(),
  })),
});

const demoSchema = z.strictObject({
  deployments: z.array(deploymentSchema),
  customers: z.array(z.strictObject({ customer: z.string(), token: z.string() })).min(1),
  requests: z.array(z.strictObject({
    customer: z.string(),
    class: z.string(),
    method: z.enum(['GET', 'POST']),
    path: z.string(),
    bodyBytes: z.int().optional(),
  })),
  keyedServices: z.array(z.string()),
  /** Lookups that are sent before and after the owner of the first key is killed. */
  loss: z.strictObject({ customer: z.string(), path: z.string(), keys: z.int().positive() }),
}).readonly();

/** Deployments, customers and requests of the demonstration. */
export type DemoPlan = z.infer<typeof demoSchema>;

/** Template of a request of the demonstration; `{number}` in the path is replaced. */
export type DemoRequest = DemoPlan['requests'][number];

/** The plan that `samples/demonstration.json` holds. */
export const demoPlan: DemoPlan = demoSchema.parse(JSON.parse(
  readFileSync(new URL('../samples/demonstration.json', import.meta.url), 'utf8'),
));

const planHosts = (deployment: DemoPlan['deployments'][number]): readonly FleetHostPlan[] => {
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

/** Hosts of all deployments of the demonstration. */
export const demoHosts: readonly FleetHostPlan[] = demoPlan.deployments.flatMap(planHosts);
