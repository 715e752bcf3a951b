import type { Dispatcher } from 'undici';
import { type BoundedPoolOptions, createBoundedPool } from './create_bounded_pool.ts';

/** A connection pool whose connections can be given up together. */
export interface RenewablePool {
  readonly request: (options: Dispatcher.RequestOptions) => Promise<Dispatcher.ResponseData>;
  /**
   * Sends later requests on new connections. Requests in flight go on, and their connections close
   * once they have ended.
   */
  readonly renew: () => void;
  /** Aborts requests in flight and closes all connections. */
  readonly destroy: () => Promise<void>;
}

/**
 * Creates a pool for a peer whose connections may go silent together, while new ones work.
 *
 * @param origin Scheme, host and port.
 * @param options Limits and timeouts.
 * @returns The pool.
 *
 * @example
 * const pool = createRenewablePool('http://127.0.0.1:9000', { connections: 6 });
 * pool.renew();
 */
export const createRenewablePool = (
  origin: string | URL,
  options: BoundedPoolOptions = {},
): RenewablePool => {
  let current = createBoundedPool(origin, options);
  const closing = new Set<Dispatcher>();
  return {
    request: (request) => current.request(request),
    renew: () => {
      const former = current;
      current = createBoundedPool(origin, options);
      closing.add(former);
      // Requests in flight report their own errors.
      former.close().catch(() => undefined).finally(() => closing.delete(former));
    },
    destroy: async () => {
      await Promise.all([current, ...closing].map((pool) => pool.destroy()));
    },
  };
};
