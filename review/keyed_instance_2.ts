import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Recorder } from './case_2.ts';
import { HEARTBEAT_MS, type Host } from './deployment_2.ts';
import { post } from './instance_2.ts';

/** A range of keys with its epoch number. */
export interface HeldRow {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/** An instance of a service that is divided by key, as `PROTOCOL.md` describes it. */
export interface KeyedInstance {
  readonly id: string;
  /** Rows that it holds now; empty once its hold has run out. */
  readonly held: () => readonly HeldRow[];
  /** Time in ms of the record at which its hold runs out. */
  readonly holdEndsAt: () => number;
  /** Time in ms of the record at which it last reported itself. */
  readonly reportedAt: () => number;
  /** Returns whether it is at work on a request for the key. */
  readonly isAtWorkOn: (key: number) => boolean;
  /** Deregisters, goes on to serve, and reports itself no more. */
  readonly deregister: () => Promise<number | undefined>;
  /** Accepts no more connections; its process ends once it has answered what it runs. */
  readonly finish: () => Promise<void>;
  /** Ends the process at once. */
  readonly end: () => void;
}

/** Options of a keyed instance. */
export interface KeyedInstanceOptions {
  readonly host: Host;
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly recorder: Recorder;
  /** Time in ms that a request takes, by its path. */
  readonly workMsOf: (path: string) => number;
  /** Called when the instance takes rows that it did not hold before. */
  readonly onTake?: (rows: readonly HeldRow[]) => void;
}

interface Answer {
  readonly holds?: readonly (readonly [number, number, number, string])[];
  readonly hold_time?: string;
}

const RELEASE_REPORT_DELAY_MS = 50;
const IDLE_TIMEOUT_MS = 10_000;
const FINISH_CHECK_MS = 50;

const covers = ({ from, to }: HeldRow, key: number) => key >= from && key <= to;
const isSame = (left: HeldRow, right: HeldRow) => (
  left.from === right.from && left.to === right.to && left.fence === right.fence
);

/** Starts an instance without keys, which announces itself to the node of its host at once. */
export const startKeyedInstance = async (
  options: KeyedInstanceOptions,
): Promise<KeyedInstance> => {
  const { host, id, recorder } = options;
  const { note, now } = recorder;
  const born = Date.now();
  const running = new Set<{ readonly key: number }>();
  let rows: readonly HeldRow[] = [];
  /** Rows that were left out of a grant while requests for their keys ran. */
  let workedOn: readonly HeldRow[] = [];
  let freed: (readonly [number, number, string])[] = [];
  let endsAt = -Infinity;
  let reportedAt = -Infinity;
  let sequence = 0;
  let isReporting = true;
  let hasEnded = false;
  let timer: NodeJS.Timeout | undefined;

  const held = () => (now() < endsAt ? rows : []);
  const isRunningIn = (row: HeldRow) => [...running].some(({ key }) => covers(row, key));
  const free = ({ from, to }: HeldRow) => {
    freed.push([from, to, randomBytes(8).toString('hex')]);
  };

  const server = createServer((message, response) => {
    const requestId = String(message.headers['request-id'] ?? '');
    const expected = message.headers['expect-instance'];
    const key = Number(message.headers['shard-key']);
    message.resume();
    if (message.url === '/health') {
      response.writeHead(200, { 'instance-id': id, 'content-length': 0 }).end();
      return;
    }
    const isMine = (expected === undefined || expected === id)
      && held().some((row) => covers(row, key));
    if (!isMine || running.size >= options.slots) {
      const status = isMine ? 503 : 421;
      response.writeHead(status, { 'request-id': requestId, 'not-executed': '1' }).end();
      return;
    }
    const work = { key };
    running.add(work);
    note(`${id} begins ${requestId} for key ${key}`);
    sleep(options.workMsOf(message.url ?? '')).then(() => {
      running.delete(work);
      note(`${id} has ended ${requestId}`);
      const body = `${requestId} ran at ${id}`;
      response.writeHead(200, {
        'request-id': requestId,
        'response-seal': `${id}.${requestId}`,
        'content-length': Buffer.byteLength(body),
      }).end(body);
    }).catch(() => response.destroy());
  });
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  const [ip, port] = host.instanceAddress.split(':');
  server.listen(Number(port), ip);
  await once(server, 'listening');
  note(`${id} of ${options.service} has started at ${host.instanceAddress}, born ${born}`);

  const applyGrant = ({ holds, hold_time: holdTime }: Answer, sentAt: number) => {
    if (holds === undefined || holdTime === undefined) return;
    const before = held();
    const granted = holds.map(([from, to, fence]): HeldRow => ({ from, to, fence }));
    for (const row of before) {
      if (granted.some((other) => isSame(other, row))) continue;
      if (isRunningIn(row)) workedOn = [...workedOn, row];
      else free(row);
    }
    rows = granted;
    endsAt = sentAt + Number.parseFloat(holdTime);
    const taken = granted.filter((row) => !before.some((other) => isSame(other, row)));
    if (taken.length === 0) return;
    note(`${id} takes ${taken.map(({ from, to, fence }) => `${from}-${to}/${fence}`).join(' ')}`);
    options.onTake?.(taken);
  };

  const report = async () => {
    for (const row of workedOn) if (!isRunningIn(row)) free(row);
    workedOn = workedOn.filter(isRunningIn);
    sequence += 1;
    const sentAt = now();
    reportedAt = sentAt;
    const reported = freed;
    try {
      const { status, text } = await post(host.announceAddress, `/instances/${id}/heartbeat`, {
        address: host.instanceAddress,
        born,
        info: {
          service: options.service, zone: 'zone-1', version: 'v1', slots: options.slots,
        },
        status: { state: 'ready', sequence, cold_remaining: '0ms' },
        holds: [...held(), ...workedOn].map(({ from, to, fence }) => [from, to, fence]),
        freed: reported,
      });
      note(`${id} reports ready, sequence ${sequence}: ${status}`);
      if (status !== 200) return;
      freed = freed.filter((row) => !reported.includes(row));
      applyGrant(JSON.parse(text), sentAt);
    } catch (error) {
      note(`${id} reports ready, sequence ${sequence}: ${String(error)}`);
    }
  };
  const reportAtIntervals = async () => {
    await report();
    if (!isReporting) return;
    const pauseMs = freed.length > 0 || workedOn.length > 0
      ? RELEASE_REPORT_DELAY_MS
      : HEARTBEAT_MS;
    timer = setTimeout(() => {
      reportAtIntervals().catch(() => undefined);
    }, pauseMs);
  };
  reportAtIntervals().catch(() => undefined);

  const stopReporting = () => {
    isReporting = false;
    clearTimeout(timer);
  };

  return {
    id,
    held,
    holdEndsAt: () => endsAt,
    reportedAt: () => reportedAt,
    isAtWorkOn: (key) => [...running].some((work) => work.key === key),
    deregister: async () => {
      stopReporting();
      const { status } = await post(
        host.announceAddress,
        `/instances/${id}/deregister`,
        { born },
      );
      note(`${id} deregisters: ${status}`);
      return status === 200 ? now() : undefined;
    },
    finish: async () => {
      note(`${id} accepts no more connections, and finishes ${running.size} requests`);
      server.close();
      server.closeIdleConnections();
      while (running.size > 0) await sleep(FINISH_CHECK_MS);
      await sleep(FINISH_CHECK_MS);
      server.closeAllConnections();
      hasEnded = true;
      note(`the process of ${id} has ended`);
    },
    end: () => {
      if (hasEnded) return;
      hasEnded = true;
      stopReporting();
      server.close();
      server.closeAllConnections();
    },
  };
};
