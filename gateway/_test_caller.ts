import { once } from 'node:events';
import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSystemClock } from '../clock/mod.ts';
import type { RouteKind } from '../contract/mod.ts';

const clock = createSystemClock();

const STALLED_CALLER_MS = 1500;

/** Processor time in ms of 100 ms below which this process counts as calm. */
export const MAX_CALM_PROCESSOR_MS = 60;

/** Outcome of a request as its caller sees it. */
export interface CallerAnswer {
  /** Status; undefined when the connection ended before a whole head. */
  readonly status: number | undefined;
  readonly headers: IncomingMessage['headers'];
  /** The answer ended as its framing tells, and its connection was not reset. */
  readonly isComplete: boolean;
  /** Start of the body. */
  readonly text: string;
  readonly bodyBytes: number;
  readonly durationMs: number;
}

export interface CallOptions {
  readonly kind?: RouteKind;
  readonly deadlineMs?: number;
  /** Body of an unsafe request. */
  readonly body?: string;
  /** A stalled caller reads nothing after the head, and leaves after some seconds. */
  readonly reader?: 'quick' | 'stalled';
  /** The caller leaves after this time in ms. */
  readonly leaveAfterMs?: number;
  /** Called when the first part of the body has arrived. */
  readonly onBodyStart?: () => void;
}

let nextId = 0;

/** Sends a request and resolves once its connection has closed. */
export const sendAsCaller = async (
  address: string,
  options: CallOptions,
): Promise<CallerAnswer> => {
  nextId += 1;
  const startedAt = clock.now();
  const { kind = 'safe' } = options;
  const request = httpRequest(`http://${address}/${kind}/a`, {
    method: kind === 'unsafe' ? 'POST' : 'GET',
    agent: false,
    headers: {
      host: 'shop.example',
      'request-id': `r-${nextId}`,
      'deadline-ms': String(options.deadlineMs ?? 5000),
    },
  });
  if (options.leaveAfterMs !== undefined) {
    setTimeout(() => request.destroy(), options.leaveAfterMs);
  }
  let isReset = false;
  // libuv reports a reset that arrives right after data as the end of the connection.
  // The client itself closes the socket at the end of an answer without a length.
  request.once('socket', (socket) => socket.prependOnceListener('end', () => {
    isReset ||= socket.remoteAddress === undefined;
  }));
  request.on('error', () => {
    isReset = true;
  });
  request.end(kind === 'unsafe' ? options.body ?? 'order' : undefined);
  const result = {
    status: undefined, headers: {}, isComplete: false, text: '', bodyBytes: 0,
  };
  try {
    const [response] = await once(request, 'response') as [IncomingMessage];
    let text = '';
    let bodyBytes = 0;
    if (options.reader === 'stalled') {
      // A paused socket does not notice that its connection was reset.
      setTimeout(() => request.destroy(), STALLED_CALLER_MS);
    } else {
      response.on('data', (chunk: Buffer) => {
        if (bodyBytes === 0) options.onBodyStart?.();
        bodyBytes += chunk.length;
        if (text.length < 1000) text += chunk.toString('latin1');
      });
    }
    await new Promise((resolve) => {
      response.once('error', () => undefined);
      request.once('close', resolve);
    });
    return {
      status: response.statusCode,
      headers: response.headers,
      isComplete: response.complete && !isReset,
      text,
      bodyBytes,
      durationMs: clock.now() - startedAt,
    };
  } catch {
    return { ...result, durationMs: clock.now() - startedAt };
  }
};

/** Samples the buffers of this process until stopped; returns their largest growth in bytes. */
export const watchBuffers = () => {
  const start = process.memoryUsage().arrayBuffers;
  let peak = start;
  const timer = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().arrayBuffers);
  }, 5);
  return () => {
    clearInterval(timer);
    return peak - start;
  };
};

/** Returns the least processor time in ms of 100 ms within the next half second. */
export const processorTimeMs = async () => {
  let least = Infinity;
  for (let window = 0; window < 5 && least > MAX_CALM_PROCESSOR_MS; window += 1) {
    const before = process.cpuUsage();
    await sleep(100);
    const { user, system } = process.cpuUsage(before);
    least = Math.min(least, (user + system) / 1000);
  }
  return least;
};
