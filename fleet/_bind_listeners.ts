import type { HttpListener } from '../http/mod.ts';

/**
 * Binds listeners in their order, until the node is to stop: a listener that is bound later would
 * accept requests into a process that ends.
 *
 * @param listeners Listeners, those of callers last.
 * @param isStopping Whether the node is to stop.
 * @returns Whether all of them are bound.
 * @throws {Error} when an address cannot be bound.
 *
 * @example
 * if (await bindListeners([peers, callers], () => shutdown.phase() !== 'running')) announce();
 */
export const bindListeners = async (
  listeners: readonly Pick<HttpListener, 'listen' | 'kill'>[],
  isStopping: () => boolean,
): Promise<boolean> => {
  for (const listener of listeners) {
    if (isStopping()) return false;
    await listener.listen();
    if (!isStopping()) continue;
    // It has been bound in this turn of the event loop, so it has accepted nothing.
    listener.kill();
    return false;
  }
  return true;
};
