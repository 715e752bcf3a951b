/**
 * Measures the peak memory of a node that gets bodies of 60 MB in chunks of several sizes, one and
 * eight at a time, beside ordinary requests. Needs the builds of the deploy file and of
 * `review/build-2.sh`.
 *
 * @example
 * npx tsx bench/small_chunks.ts
 */
import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { type ChunkedUpload, sendChunks } from '../gateway/_chunked_upload.ts';
import { contractOf, startCaller } from '../review/client_2.ts';
import { createDeployment } from '../review/deployment_2.ts';
import { startInstance } from '../review/instance_2.ts';

const BODY_BYTES = 60_000_000;
const CHUNK_BYTES = [1, 16, 32, 100, 16_384];
const COUNTS = [1, 8];
/** Timeout of the route in ms; a body that has not arrived within it is late. */
const TIMEOUT_MS = 15_000;
const MARGIN_MS = 3000;
const ANNOUNCED_MS = 2500;
const KIBIBYTES_PER_MEGABYTE = 1000 / 1.024;
/** Until the end of a process is noticed. */
const EXIT_MS = 500;
const CALLERS = 4;

/** Returns 0 for a process that has ended. */
const peakMegabytes = (processId: number): number => {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const [, kibibytes = 'NaN'] = /^VmHWM:\s+(\d+) kB$/mu.exec(status) ?? [];
  return Number(kibibytes) / KIBIBYTES_PER_MEGABYTE || 0;
};

/** Sends one body; resolves to the first line and the cause of its answer. */
const upload = async (address: string, requestId: string, chunkBytes: number) => {
  const endsAt = Date.now() + TIMEOUT_MS + MARGIN_MS;
  let sent: ChunkedUpload;
  try {
    sent = await sendChunks(address, {
      bodyBytes: BODY_BYTES, chunkBytes, requestId, deadlineMs: TIMEOUT_MS,
    });
  } catch (error) {
    return String(error);
  }
  sent.finish();
  while (sent.received() === '' && !sent.isClosed() && Date.now() < endsAt) await sleep(20);
  sent.close();
  const [head = ''] = sent.received().split('\r\n', 1);
  const [, reason = ''] = /"error":"([^"]*)"/u.exec(sent.received()) ?? [];
  return `${head === '' ? 'no answer' : head.slice('HTTP/1.1 '.length)} ${reason}`.trim();
};

const countTexts = (texts: readonly string[]) => {
  const counts = new Map<string, number>();
  for (const text of texts) counts.set(text, (counts.get(text) ?? 0) + 1);
  return [...counts].map(([text, count]) => `${count} x ${text}`).join('; ');
};

const measure = async (chunkBytes: number, count: number) => {
  const deployment = createDeployment(() => undefined);
  const recorder = { note: () => undefined, now: () => performance.now(), save: () => undefined };
  try {
    const store = await deployment.startStore();
    const host = deployment.addHost({ zone: 'zone-1', service: 'orders', store });
    host.start();
    const instance = await startInstance({
      host, id: 'i-1', service: 'orders', slots: 9, workMs: 20, recorder,
    });
    await store.publish(contractOf([
      {
        prefix: '/unsafe/', type: 'unsafe', service: 'orders', timeout: `${TIMEOUT_MS}ms`,
      },
      {
        prefix: '/orders/', type: 'unsafe', service: 'orders', timeout: '4000ms',
      },
    ]));
    await host.waitUntilReady();
    await sleep(ANNOUNCED_MS);
    const node = host.node()!;
    const beforeMegabytes = peakMegabytes(node.pid!);
    let peak = beforeMegabytes;
    const watch = setInterval(() => {
      if (host.node() === node) peak = Math.max(peak, peakMegabytes(node.pid!));
    }, 20);
    const callers = Array.from({ length: CALLERS }, (_, index) => startCaller({
      name: `caller-${index}`,
      address: host.callerAddress,
      path: '/orders/1',
      method: 'POST',
      deadlineMs: 4000,
      pauseMs: 20,
      recorder,
    }));
    const answers = await Promise.all(Array.from({ length: count }, (_, index) => (
      upload(host.callerAddress, `upload-${index}`, chunkBytes)
    )));
    clearInterval(watch);
    await sleep(EXIT_MS);
    const hasEnded = host.node() !== node;
    await Promise.all(callers.map(({ stop }) => stop()));
    const statuses = callers.flatMap(({ endings }) => endings)
      .map(({ status }) => String(status ?? 'cut off'));
    console.log([
      '', chunkBytes, count, beforeMegabytes.toFixed(0), peak.toFixed(0), hasEnded ? 'yes' : 'no',
      countTexts(answers), countTexts(statuses), '',
    ].join(' | ').trim());
    await instance.end();
  } finally {
    deployment.close();
  }
};

for (const chunkBytes of CHUNK_BYTES) {
  for (const count of COUNTS) await measure(chunkBytes, count);
}
process.exit();
