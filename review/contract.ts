import { CONTRACT_KEY } from '../platform/mod.ts';
import type { PlatformStoreServer } from '../standins/platform_store.ts';
import { HOST_HEADER } from './caller.ts';

/** A route of a contract. */
export interface Route {
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe' | 'download';
  readonly service: string;
  /** The service is divided by key. */
  readonly isKeyed?: boolean;
}

/**
 * Writes a contract as the operator does; resolves with the store's acknowledgement.
 *
 * @param server The store.
 * @param version Version of the contract.
 * @param routes Its routes.
 */
export const publish = async (
  server: PlatformStoreServer,
  version: number,
  routes: readonly Route[],
): Promise<void> => {
  const services = new Map(routes.map(({ service, isKeyed = false }) => [service, isKeyed]));
  const value = JSON.stringify({
    version,
    resources: [
      ...routes.map(({ prefix, kind, service }) => ({
        resource_type: 'routes',
        metadata: { name: `r-${prefix.replaceAll('/', '')}` },
        spec: {
          host: HOST_HEADER,
          prefix,
          route_type: kind,
          timeout: '1000ms',
          target_latency: '300ms',
          priority: 1,
          max_attempts: 2,
          service,
        },
      })),
      ...[...services].map(([name, sharded]) => ({
        resource_type: 'services', metadata: { name }, spec: { max_connections: 130, sharded },
      })),
    ],
  });
  const found = (await server.store.get(CONTRACT_KEY))._unsafeUnwrap();
  const written = await server.store.transact({
    expect: [{ key: CONTRACT_KEY, revision: found?.revision ?? 0 }],
    puts: [{ key: CONTRACT_KEY, value }],
  });
  if (written.isErr()) throw written.error;
};
