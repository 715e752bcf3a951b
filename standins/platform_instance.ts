import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { nodeCalls, platformHeaders } from '../platform/mod.ts';

type Range = readonly [from: number, to: number, token: number];

/** A stand-in of an instance on the platform. */
export interface PlatformInstance {
  readonly instance: string;
  readonly address: string;
  /** Requests that it ran, by identifier, with the time of each run. */
  readonly runs: ReadonlyMap<string, number>;
  readonly held: () => readonly Range[];
  readonly drain: () => void;
  /** Ends as a crash does: connections are reset and the address refuses new ones. */
  readonly kill: () => void;
  /** Answers with this status instead of success, or breaks answers off. */
  setFault: (fault: InstanceFault) => void;
}

/** What goes wrong at an instance. */
export type InstanceFault = 'none' | 'error' | 'shed' | 'truncate' | 'unframed' | 'unsigned'
  | 'foreign';

/** Options of an instance. */
export interface PlatformInstanceOptions {
  readonly service: string;
  /** Address of the node's listener for announcements. */
  readonly control: string;
  readonly slots?: number;
  readonly workMs?: number;
  readonly announceIntervalMs?: number;
  /** 0 takes a free port. */
  readonly port?: number;
}

const DEFAULT_SLOTS = 6;
const DEFAULT_WORK_MS = 5;
const DEFAULT_ANNOUNCE_MS = 200;
const RELEASE_ANNOUNCE_MS = 50;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;

const createHolds = () => {
  let rows: readonly Range[] = [];
  let endsAt = 0;
  let released: (readonly [number, number, string])[] = [];
  const held = () => (Date.now() < endsAt ? rows : []);
  return {
    held,
    released: () => released,
    holds: (key: number) => held().some(([from, to]) => key >= from && key <= to),
    take: (granted: readonly Range[] | undefined, holdMs: number, sentAt: number) => {
      released = [];
      if (granted === undefined) return false;
      for (const [from, to] of held()) {
        const isKept = granted.some((row) => row[0] <= from && row[1] >= to);
        if (!isKept) released.push([from, to, randomUUID().slice(0, 16)]);
      }
      rows = granted.map(([from, to, token]) => [from, to, token]);
      endsAt = sentAt + holdMs;
      return released.length > 0;
    },
  };
};

/**
 * Starts an instance that announces itself to its node, holds keys, and runs requests.
 *
 * @param options Service, node, slots and duration of a run.
 * @returns The running instance.
 *
 * @example
 * const instance = await startPlatformInstance({ service: 'ledger', control: '127.0.0.1:7001' });
 */
export const startPlatformInstance = async (
  options: PlatformInstanceOptions,
): Promise<PlatformInstance> => {
  const instance = `i-${randomUUID().slice(0, 8)}`;
  const startedAt = Date.now();
  const runs = new Map<string, number>();
  const holds = createHolds();
  const timers = new Set<NodeJS.Timeout>();
  let fault: InstanceFault = 'none';
  let isDraining = false;
  let isKilled = false;
  let sequence = 0;

  const refuse = (response: ServerResponse, status: number) => {
    response.writeHead(status, { [platformHeaders.notRun]: '1' });
    response.end();
  };

  const answer = (id: string, response: ServerResponse) => {
    const headers: Record<string, string> = {
      [platformHeaders.requestId]: fault === 'foreign' ? 'other' : id,
      ...(fault === 'unsigned' ? {} : { [platformHeaders.signature]: `${instance}.${id}` }),
    };
    const body = `${id} ran at ${instance}`;
    if (fault === 'truncate') {
      response.writeHead(200, { ...headers, 'content-length': body.length + 10 });
      response.write(body);
      setTimeout(() => response.destroy(), 1);
      return;
    }
    if (fault === 'unframed') response.useChunkedEncodingByDefault = false;
    response.writeHead(fault === 'error' ? 500 : 200, headers);
    response.end(body);
  };

  const handle = (message: IncomingMessage, response: ServerResponse) => {
    message.resume();
    const id = String(message.headers[platformHeaders.requestId] ?? '');
    const expected = message.headers[platformHeaders.expectedInstance];
    const key = message.headers[platformHeaders.key];
    if (expected !== undefined && expected !== instance) refuse(response, STATUS_MISDIRECTED);
    else if (key !== undefined && !holds.holds(Number(key))) refuse(response, STATUS_MISDIRECTED);
    else if (fault === 'shed') refuse(response, STATUS_UNAVAILABLE);
    else {
      runs.set(id, (runs.get(id) ?? 0) + 1);
      setTimeout(() => answer(id, response), options.workMs ?? DEFAULT_WORK_MS);
    }
  };

  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(options.port ?? 0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

  const announce = async (): Promise<boolean> => {
    const sentAt = Date.now();
    sequence += 1;
    const { body, statusCode } = await request(
      `http://${options.control}${nodeCalls.announce.replace(':id', instance)}`,
      {
        method: 'POST',
        signal: AbortSignal.timeout(1000),
        body: JSON.stringify({
          address,
          born: startedAt,
          info: {
            service: options.service,
            version: 'v1',
            zone: 'd',
            slots: options.slots ?? DEFAULT_SLOTS,
          },
          status: {
            state: isDraining ? 'draining' : 'ready', sequence, cold_remaining: '0ms',
          },
          holds: holds.held(),
          freed: holds.released(),
        }),
      },
    );
    const reply = await body.json() as { holds?: Range[]; hold_time?: string };
    if (statusCode !== 200) return false;
    const holdMs = Number.parseFloat(reply.hold_time ?? '0');
    return holds.take(reply.holds, holdMs, sentAt);
  };

  const schedule = (delayMs: number) => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      const next = (released: boolean) => {
        const pauseMs = options.announceIntervalMs ?? DEFAULT_ANNOUNCE_MS;
        if (!isKilled) schedule(released ? RELEASE_ANNOUNCE_MS : pauseMs);
      };
      announce().then(next, () => next(false));
    }, delayMs);
    timers.add(timer);
  };
  schedule(0);

  return {
    instance,
    address,
    runs,
    held: holds.held,
    drain: () => {
      isDraining = true;
    },
    kill: () => {
      isKilled = true;
      for (const timer of timers) clearTimeout(timer);
      server.close();
      server.closeAllConnections();
    },
    setFault: (next) => {
      fault = next;
    },
  };
};
