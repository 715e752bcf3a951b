import { once } from 'node:events';
import { createServer, type IncomingMessage, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Recorder } from './case_2.ts';
import { HEARTBEAT_MS, type Host } from './deployment_2.ts';

/** A request that an instance began to work on; `at` is in ms of the record. */
export interface Arrival {
  readonly id: string;
  readonly at: number;
}

/** An instance of a service without keys, as `PROTOCOL.md` describes it. */
export interface Instance {
  readonly id: string;
  readonly arrivals: readonly Arrival[];
  /**
   * Deregisters without having reported `draining`, and goes on to serve; resolves to the time of
   * the acknowledgement in ms of the record, or undefined without one.
   */
  readonly deregister: () => Promise<number | undefined>;
  /** Ends the process of the instance: open connections are closed and new ones are refused. */
  readonly end: () => Promise<void>;
}

/** Options of an instance. */
export interface InstanceOptions {
  readonly host: Host;
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly workMs: number;
  readonly recorder: Recorder;
  /** Goes on to report itself, as ready, after it has deregistered; it does not by default. */
  readonly reportsAfterLeaving?: boolean;
}

/** A report that is not answered within this time is not acknowledged. */
const ACKNOWLEDGE_MS = 1000;
const IDLE_TIMEOUT_MS = 10_000;

const readBody = async (message: IncomingMessage) => {
  let bytes = 0;
  for await (const chunk of message) bytes += (chunk as Buffer).length;
  return bytes;
};

/** Sends a call to a node; rejects if there is no answer within a second. */
export const post = (address: string, path: string, body: unknown) => (
  new Promise<{ readonly status: number; readonly text: string }>((settle, fail) => {
    const [host, port] = address.split(':');
    const sent = request({
      host,
      port,
      path,
      method: 'POST',
      agent: false,
      timeout: ACKNOWLEDGE_MS,
      headers: { 'content-type': 'application/json' },
    }, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (part: string) => {
        text += part;
      });
      response.once('end', () => settle({ status: response.statusCode ?? 0, text }));
    });
    sent.once('timeout', () => sent.destroy(new Error('no answer within a second')));
    sent.once('error', fail);
    sent.end(JSON.stringify(body));
  })
);

/** Starts an instance, which announces itself to the node of its host at once. */
export const startInstance = async (options: InstanceOptions): Promise<Instance> => {
  const {
    host, id, service, slots, recorder,
  } = options;
  const { note } = recorder;
  const born = Date.now();
  const arrivals: Arrival[] = [];
  let sequence = 0;
  let running = 0;
  let hasEnded = false;
  let timer: NodeJS.Timeout | undefined;

  const server = createServer((message, response) => {
    const requestId = String(message.headers['request-id'] ?? '');
    const expected = message.headers['expect-instance'];
    if (message.url === '/health') {
      response.writeHead(200, { 'instance-id': id, 'content-length': 0 }).end();
      return;
    }
    if (expected !== undefined && expected !== id) {
      message.resume();
      response.writeHead(421, { 'request-id': requestId, 'not-executed': '1' }).end();
      return;
    }
    if (running >= slots) {
      message.resume();
      response.writeHead(503, { 'request-id': requestId, 'not-executed': '1' }).end();
      return;
    }
    arrivals.push({ id: requestId, at: recorder.now() });
    note(`${id} begins ${requestId}`);
    running += 1;
    const run = async () => {
      const bytes = await readBody(message);
      await sleep(options.workMs);
      const body = `${requestId} ran at ${id} with ${bytes} bytes`;
      response.writeHead(200, {
        'request-id': requestId,
        'response-seal': `${id}.${requestId}`,
        'content-length': Buffer.byteLength(body),
      }).end(body);
    };
    run().catch(() => response.destroy()).finally(() => {
      running -= 1;
    });
  });
  server.keepAliveTimeout = IDLE_TIMEOUT_MS;
  const [ip, port] = host.instanceAddress.split(':');
  server.listen(Number(port), ip);
  await once(server, 'listening');
  note(`${id} of ${service} has started at ${host.instanceAddress}, born ${born}`);

  const announce = async () => {
    sequence += 1;
    const report = `${id} (born ${born}) reports ready, sequence ${sequence}`;
    try {
      const { status } = await post(host.announceAddress, `/instances/${id}/heartbeat`, {
        address: host.instanceAddress,
        born,
        info: {
          service, zone: 'zone-1', version: 'v1', slots,
        },
        status: { state: 'ready', sequence, cold_remaining: '0ms' },
        holds: [],
        freed: [],
      });
      note(`${report}: ${status}`);
    } catch (error) {
      note(`${report}: ${String(error)}`);
    }
  };
  const announceAtIntervals = () => {
    if (hasEnded) return;
    announce().catch(() => undefined);
    timer = setTimeout(announceAtIntervals, HEARTBEAT_MS);
  };
  announceAtIntervals();

  return {
    id,
    arrivals,
    deregister: async () => {
      if (options.reportsAfterLeaving !== true) clearTimeout(timer);
      try {
        const path = `/instances/${id}/deregister`;
        const { status } = await post(host.announceAddress, path, { born });
        note(`${id} (born ${born}) deregisters: ${status}`);
        return status >= 200 && status < 300 ? recorder.now() : undefined;
      } catch (error) {
        note(`${id} (born ${born}) deregisters: ${String(error)}`);
        return undefined;
      }
    },
    end: async () => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      note(`${id} (born ${born}) ends with ${running} requests running`);
      const closed = once(server, 'close');
      server.close();
      server.closeAllConnections();
      await closed;
    },
  };
};
