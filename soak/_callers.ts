import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../testing/create_random.ts';
import { send as sendRequest, type SentRequest } from '../testing/send_request.ts';

/** A request to a node of the round. */
export interface NodeRequest extends SentRequest {
  readonly node: number;
}

/** Options of {@link callUntil}. */
export interface CallerOptions {
  readonly node: number;
  readonly address: string;
  readonly random: Random;
  readonly intervalMs: number;
  /** Returns the prefix of the route that was published last. */
  readonly newestPrefix: () => string;
  readonly signal: AbortSignal;
}

const MIN_DEADLINE_MS = 100;
const MAX_DEADLINE_MS = 3000;

let nextId = 0;

/** Options of {@link send}. */
export interface SendOptions {
  /** Index of the node. */
  readonly node: number;
  readonly path: string;
  readonly deadlineMs: number;
  /** Agent that keeps connections; by default, the connection ends after the response. */
  readonly agent?: Agent;
}

/** Sends a request with an identifier of its own to a node. */
export const send = async (
  address: string,
  { node, ...options }: SendOptions,
): Promise<NodeRequest> => {
  nextId += 1;
  return { ...await sendRequest(address, { id: `starved-${nextId}`, ...options }), node };
};

const pathOf = ({ random, newestPrefix }: CallerOptions) => {
  const prefix = ['/reads/', '/orders/', newestPrefix()][random(3)]!;
  return `${prefix}${random(1000)}`;
};

/** Sends requests to one node until aborted; resolves to all of them once each has ended. */
export const callUntil = async (options: CallerOptions): Promise<readonly NodeRequest[]> => {
  const { random, signal } = options;
  const agent = new Agent({ keepAlive: true });
  const sent: Promise<NodeRequest>[] = [];
  while (!signal.aborted) {
    sent.push(send(options.address, {
      node: options.node,
      path: pathOf(options),
      deadlineMs: MIN_DEADLINE_MS + random(MAX_DEADLINE_MS - MIN_DEADLINE_MS),
      ...(random(2) === 0 ? { agent } : {}),
    }));
    await sleep(random(2 * options.intervalMs));
  }
  const ended = await Promise.all(sent);
  agent.destroy();
  return ended;
};
