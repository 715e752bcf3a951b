import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { nodePaths, platformHeaders } from '../platform/mod.ts';

type HeldRange = readonly [from: number, to: number, token: number];

/** A stand-in for an upstream instance on the platform. */
export interface PlatformInstance {
  readonly instance: string;
  readonly address: string;
  /** Number of executions of each request, by request ID. */
  readonly executionCounts: ReadonlyMap<string, number>;
  readonly heldRanges: () => readonly HeldRange[];
  readonly drain: () => void;
  /** Deregisters and announces itself no more, but goes on to serve. */
  readonly leave: () => Promise<void>;
  /** Accepts no more connections, and closes each one once its request has been answered. */
  readonly closeListener: () => void;
  /** Number of requests that it runs. */
  readonly running: () => number;
  /** Stops as a crash does: open connections are closed and new ones are refused. */
  readonly kill: () => void;
  /** Sets the fault that affects all later responses; `none` restores normal operation. */
  setFault: (fault: InstanceFault) => void;
}

/** Fault that an instance simulates. */
export type InstanceFault = 'none' | 'error' | 'shed' | 'truncate' | 'unframed' | 'unsigned'
  | 'foreign';

/** A request that an instance runs. */
export interface RunRequest {
  readonly id: string;
  readonly path: string;
  /** Monotonic time in ms at which the instance stops the work. */
  readonly endsAt: number;
}

/** Options of an instance. */
export interface PlatformInstanceOptions {
  readonly service: string;
  /** Address of the node's listener that receives announcements. */
  readonly announceAddress: string;
  readonly slots?: number;
  readonly workMs?: number | ((path: string) => number);
  /** Least size of the body of a response in bytes. */
  readonly responseBytes?: number | ((path: string) => number);
  /**
   * Makes the calls that a run needs, once its work is done; the response is 500 if one fails.
   * By default, runs make no calls.
   */
  readonly makeCalls?: (request: RunRequest) => Promise<boolean>;
  readonly announceIntervalMs?: number;
  /** Time in ms after the start for which the instance announces that it is cold. */
  readonly coldMs?: number;
  /** Port to listen on; 0 selects a free one. */
  readonly port?: number;
}

const DEFAULT_SLOTS = 6;
const DEFAULT_WORK_MS = 5;
const DEFAULT_ANNOUNCE_INTERVAL_MS = 200;
const RELEASE_ANNOUNCE_DELAY_MS = 50;
const MISDIRECTED = 421;
const UNAVAILABLE = 503;

/** Key ranges that an instance holds until its grant expires. */
const createHeldRanges = () => {
  let ranges: readonly HeldRange[] = [];
  let expiresAt = 0;
  let released: (readonly [number, number, string])[] = [];
  const current = () => (Date.now() < expiresAt ? ranges : []);
  return {
    current,
    released: () => released,
    includes: (key: number) => current().some(([from, to]) => key >= from && key <= to),
    applyGrant: (granted: readonly HeldRange[] | undefined, holdMs: number, sentAt: number) => {
      released = [];
      if (granted === undefined) return false;
      for (const [from, to] of current()) {
        const isKept = granted.some((range) => range[0] <= from && range[1] >= to);
        if (!isKept) released.push([from, to, randomUUID().slice(0, 16)]);
      }
      ranges = granted.map(([from, to, token]) => [from, to, token]);
      expiresAt = sentAt + holdMs;
      return released.length > 0;
    },
  };
};

/**
 * Starts an instance that announces itself to its node, holds key ranges and runs requests.
 *
 * @param options Service, address of the node, slots and duration of a request in ms.
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
  const heldRanges = createHeldRanges();
  const timers = new Set<NodeJS.Timeout>();
  let fault: InstanceFault = 'none';
  let isDraining = false;
  let isSilent = false;
  let running = 0;
  let sequence = 0;

  const refuse = (id: string, response: ServerResponse, status: number) => {
    response.writeHead(status, {
      [platformHeaders.requestId]: id, [platformHeaders.notRun]: '1',
    });
    response.end();
  };

  const respond = ({ id, path }: RunRequest, response: ServerResponse, areCallsAnswered = true) => {
    const headers: Record<string, string> = {
      [platformHeaders.requestId]: fault === 'foreign' ? 'other' : id,
      ...(fault === 'unsigned' ? {} : { [platformHeaders.signature]: `${instance}.${id}` }),
    };
    const body = `${id} ran at ${instance}`.padEnd(typeof options.responseBytes === 'function'
      ? options.responseBytes(path)
      : options.responseBytes ?? 0);
    if (fault === 'truncate') {
      response.writeHead(200, { ...headers, 'content-length': body.length + 10 });
      response.write(body);
      setTimeout(() => response.destroy(), 1);
      return;
    }
    if (fault === 'unframed') response.useChunkedEncodingByDefault = false;
    response.writeHead(fault === 'error' || !areCallsAnswered ? 500 : 200, headers);
    response.end(body);
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse) => {
    incoming.resume();
    const id = String(incoming.headers[platformHeaders.requestId] ?? '');
    const expected = incoming.headers[platformHeaders.expectedInstance];
    const key = incoming.headers[platformHeaders.key];
    if (expected !== undefined && expected !== instance) refuse(id, response, MISDIRECTED);
    else if (key !== undefined && !heldRanges.includes(Number(key))) {
      refuse(id, response, MISDIRECTED);
    } else if (fault === 'shed') refuse(id, response, UNAVAILABLE);
    else {
      runs.set(id, (runs.get(id) ?? 0) + 1);
      running += 1;
      const path = incoming.url ?? '';
      const deadlineMs = Number(incoming.headers[platformHeaders.remainingMs] ?? Infinity);
      const run: RunRequest = { id, path, endsAt: performance.now() + deadlineMs };
      const end = (areCallsAnswered?: boolean) => {
        running -= 1;
        respond(run, response, areCallsAnswered);
      };
      setTimeout(() => {
        if (options.makeCalls === undefined) end();
        else options.makeCalls(run).then(end, () => end(false));
      }, typeof options.workMs === 'function'
        ? options.workMs(path)
        : options.workMs ?? DEFAULT_WORK_MS);
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
      `http://${options.announceAddress}${nodePaths.announce.replace(':id', instance)}`,
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
            state: isDraining ? 'draining' : 'ready',
            sequence,
            cold_remaining: `${Math.max(0, startedAt + (options.coldMs ?? 0) - sentAt)}ms`,
          },
          holds: heldRanges.current(),
          freed: heldRanges.released(),
        }),
      },
    );
    const reply = await body.json() as { holds?: HeldRange[]; hold_time?: string };
    if (statusCode !== 200) return false;
    const holdMs = Number.parseFloat(reply.hold_time ?? '0');
    return heldRanges.applyGrant(reply.holds, holdMs, sentAt);
  };

  const scheduleAnnouncement = (delayMs: number) => {
    const timer = setTimeout(() => {
      timers.delete(timer);
      const next = (released: boolean) => {
        const pauseMs = options.announceIntervalMs ?? DEFAULT_ANNOUNCE_INTERVAL_MS;
        if (!isSilent) scheduleAnnouncement(released ? RELEASE_ANNOUNCE_DELAY_MS : pauseMs);
      };
      announce().then(next, () => next(false));
    }, delayMs);
    timers.add(timer);
  };
  scheduleAnnouncement(0);

  const stopAnnouncing = () => {
    isSilent = true;
    for (const timer of timers) clearTimeout(timer);
  };

  return {
    instance,
    address,
    executionCounts: runs,
    heldRanges: heldRanges.current,
    drain: () => {
      isDraining = true;
    },
    leave: async () => {
      stopAnnouncing();
      const { body } = await request(
        `http://${options.announceAddress}${nodePaths.leave.replace(':id', instance)}`,
        { method: 'POST', body: JSON.stringify({ born: startedAt }) },
      );
      await body.dump();
    },
    closeListener: () => {
      server.close();
      server.closeIdleConnections();
    },
    running: () => running,
    kill: () => {
      stopAnnouncing();
      server.close();
      server.closeAllConnections();
    },
    setFault: (next) => {
      fault = next;
    },
  };
};
