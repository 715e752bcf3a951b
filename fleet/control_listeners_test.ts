import { once } from 'node:events';
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { splitAddress } from '../http/mod.ts';
import { nodePaths } from '../platform/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createControlListeners } from './control_listeners.ts';

const test = suite('control listeners');

const TIME_LIMIT_MS = 3000;
const MAX_MEMORY_GROWTH = 150_000_000;

const startListeners = async () => {
  const address = '127.0.0.1:0';
  let announcements = 0;
  const listeners = createControlListeners({
    clock: createSystemClock(),
    addresses: { readiness: address, announcements: address, metrics: address },
    logger: noopLogger,
    isReady: () => true,
    announce: async () => {
      announcements += 1;
      return undefined;
    },
    leave: async () => undefined,
    metricsText: async () => 'metrics',
  });
  const [announceAddress, metricsAddress, readinessAddress] = await Promise.all(
    listeners.map(({ listen }) => listen()),
  );
  return {
    address: announceAddress!,
    otherAddresses: { '/metrics': metricsAddress!, [nodePaths.readiness]: readinessAddress! },
    announcements: () => announcements,
    stop: () => {
      for (const { kill } of listeners) kill();
    },
  };
};

/** Sends a request whose body has no end; resolves once the connection has closed. */
const sendEndlessly = async (address: string, path: string, framing: 'chunked' | 'length') => {
  const socket = connect(splitAddress(address).port, '127.0.0.1');
  socket.on('error', () => undefined).resume();
  const piece = 'x'.repeat(32_768);
  const bytes = Buffer.from(framing === 'chunked' ? `8000\r\n${piece}\r\n` : piece);
  const header = framing === 'chunked'
    ? 'transfer-encoding: chunked'
    : 'content-length: 900000000000';
  socket.write(`POST ${path} HTTP/1.1\r\nhost: h\r\n${header}\r\n\r\n`);
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  const memory = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const start = memory();
  let growth = 0;
  const sampler = setInterval(() => {
    growth = Math.max(growth, memory() - start);
  }, 5);
  socket.on('drain', write);
  write();
  let isClosedByNode = true;
  const timer = setTimeout(() => {
    isClosedByNode = false;
    socket.destroy();
  }, TIME_LIMIT_MS);
  await new Promise((resolve) => {
    socket.once('close', resolve);
  });
  clearTimeout(timer);
  clearInterval(sampler);
  return { isClosedByNode, growth };
};

const announcePath = nodePaths.announce.replace(':id', 'i-1');
const leavePath = nodePaths.leave.replace(':id', 'i-1');

// Guards against an instance whose announcement has no end and fills the memory of its node.
for (const path of [announcePath, leavePath, '/unknown']) {
  for (const framing of ['chunked', 'length'] as const) {
    test(`an endless body to ${path} (${framing}) is neither kept nor read on`, async () => {
      const { address, announcements, stop } = await startListeners();
      const { isClosedByNode, growth } = await sendEndlessly(address, path, framing);
      const next = connect(splitAddress(address).port, '127.0.0.1');
      next.write(`GET ${announcePath} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n`);
      const [answer] = await once(next, 'data') as [Buffer];
      stop();
      assert.is(announcements(), 0);
      assert.ok(isClosedByNode, 'the node reads on');
      assert.ok(growth < MAX_MEMORY_GROWTH, `the memory grew by ${growth} bytes`);
      assert.match(answer.toString(), /^HTTP\/1\.1 /u);
    });
  }
}

// Guards against a body without end that is read on after its request was answered.
for (const path of ['/metrics', nodePaths.readiness] as const) {
  for (const framing of ['chunked', 'length'] as const) {
    test(`an endless body to ${path} (${framing}) is neither kept nor read on`, async () => {
      const { otherAddresses, stop } = await startListeners();
      const { isClosedByNode, growth } = await sendEndlessly(otherAddresses[path], path, framing);
      stop();
      assert.ok(isClosedByNode, 'the node reads on');
      assert.ok(growth < MAX_MEMORY_GROWTH, `the memory grew by ${growth} bytes`);
    });
  }
}

test.run();
