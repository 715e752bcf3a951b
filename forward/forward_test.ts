import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock, createSystemClock } from '../clock/mod.ts';
import { RefusalError } from '../errors/mod.ts';
import {
  createIdempotencyTable, createRequestLedger, createUpstreamGrants, endToEndHeaders,
  type FirstAttempt, formatExcess, parseExcess, parseLoad, decodeRefusal, encodeRefusal,
} from './mod.ts';

test('a request whose cancellation arrives first is refused', async () => {
  const clock = createFakeClock();
  const ledger = createRequestLedger({ clock });
  await clock.advance(5000);
  assert.is(ledger.cancel('r1.1', 100), 'never seen');
  assert.is(ledger.begin('r1.1', () => undefined), 'refused');
  assert.is(ledger.cancel('r1.1', 100), 'never seen');
});

test('a running request is cancelled once, and a finished one is not cancelled', async () => {
  const clock = createFakeClock();
  const ledger = createRequestLedger({ clock });
  let cancelled = 0;
  assert.is(ledger.begin('r1.1', () => {
    cancelled += 1;
  }), 'begun');
  assert.is(ledger.begin('r1.1', () => undefined), 'repeated');
  assert.is(ledger.cancel('r1.1', 0), 'running');
  assert.is(ledger.cancel('r1.1', 0), 'finished');
  assert.is(cancelled, 1);
  ledger.begin('r2.1', () => undefined);
  ledger.finish('r2.1');
  assert.is(ledger.cancel('r2.1', 0), 'finished');
});

test('a request that may have been evicted is never reported as `never seen`', async () => {
  const clock = createFakeClock();
  const ledger = createRequestLedger({ clock, maxEntries: 2, retentionMs: 10_000 });
  assert.is(ledger.cancel('sent-to-the-former-process', 100), 'forgotten');
  await clock.advance(20_000);
  for (const id of ['a', 'b', 'c']) {
    ledger.begin(id, () => undefined);
    ledger.finish(id);
  }
  assert.is(ledger.size(), 2);
  assert.is(ledger.cancel('a', 0), 'forgotten');
  await clock.advance(12_000);
  assert.is(ledger.cancel('a', 12_000), 'forgotten');
  assert.is(ledger.cancel('new', 1000), 'never seen');
});

const cachedResult = (size: number) => ({
  kind: 'kept', response: { status: 200, headers: [], body: Buffer.alloc(size) },
} as const);

test('the idempotency table limits cached bytes and retains keys for a time', async () => {
  const clock = createFakeClock();
  const table = createIdempotencyTable({
    clock, maxCachedBytes: 150, maxEntries: 3, retentionMs: 1000,
  });
  for (const key of ['a', 'b']) {
    (table.register('mesh', 's', key) as FirstAttempt).complete(cachedResult(100));
  }
  assert.is(table.cachedBytes(), 100);
  const dropped = table.register('mesh', 's', 'a');
  assert.is(dropped.kind === 'repeat' && (await dropped.result).kind, 'unknown');
  const kept = table.register('mesh', 's', 'b');
  assert.is(kept.kind === 'repeat' && (await kept.result).kind, 'kept');
  assert.is(table.register('other', 's', 'a').kind, 'first');
  assert.is(table.register('mesh', 's', 'c').kind, 'full');
  await clock.advance(1001);
  assert.is(table.register('mesh', 's', 'a').kind, 'first');
  assert.is(table.cachedBytes(), 0);
});

test('an idempotency key whose first attempt did not run can run again', () => {
  const table = createIdempotencyTable({ clock: createFakeClock() });
  const refusal = new RefusalError('full', { step: 's', status: 503, outcome: 'not run' });
  (table.register('mesh', 's', 'a') as FirstAttempt).complete({ kind: 'not run', refusal });
  assert.is(table.register('mesh', 's', 'a').kind, 'first');
});

test('headers listed in Connection are removed, except framing headers', () => {
  const raw = ['Connection', 'X-A, Content-Length', 'X-a', '1', 'Content-Length', '3', 'B', '2'];
  assert.equal(endToEndHeaders(raw), ['Content-Length', '3', 'B', '2']);
});

test('a refusal survives the round trip through hop headers', () => {
  const refusal = new RefusalError('ünavailable\r\n', {
    step: 'a', peer: 'p', status: 503, outcome: 'not run', retryAfterSeconds: 2,
  });
  const read = decodeRefusal(503, encodeRefusal(refusal), 'address');
  const fields = ['reason', 'step', 'peer', 'status', 'outcome', 'retryAfterSeconds'] as const;
  for (const name of fields) {
    assert.is(read?.[name], refusal[name]);
  }
  assert.is(decodeRefusal(200, ['content-type', 'text/plain'], 'address'), undefined);
  assert.is(parseLoad('1,2,x,4'), undefined);
  assert.equal(parseExcess(formatExcess({ timely: 0.25, late: 0.5 })), { timely: 0.25, late: 0.5 });
  // Without the third figure, nodes that know only two of them read the others.
  assert.is(formatExcess({ timely: 0.25, late: 0.5, callFailures: 0 }), '25,50');
  const failing = { timely: 0, late: 0, callFailures: 0.3 };
  assert.equal(parseExcess(formatExcess(failing)), failing);
  assert.is(formatExcess({ timely: 0, late: 0.001 }), undefined);
  for (const text of ['', '25', '25,x', '25,101', '-1,0', '1,2,3,4', '1,2,x', '1,2,101']) {
    assert.is(parseExcess(text), undefined, text);
  }
});

test('grants are sent to the upstream; a rejection or a timeout is an error', async () => {
  const received: string[] = [];
  let status = 204;
  const server = createServer((request, response) => {
    request.setEncoding('utf8').on('data', (text: string) => {
      received.push(`${request.method} ${request.url} ${text}`);
      if (status > 0) response.writeHead(status).end();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const grants = createUpstreamGrants(address, { clock: createSystemClock(), timeoutMs: 200 });
  const request = {
    service: 's', instance: 'i', owner: 'n#1', token: 3, slots: [1], hotKeys: ['k'],
  };
  assert.ok((await grants.grant(request)).isOk());
  assert.ok((await grants.revoke(request)).isOk());
  const body = JSON.stringify(request);
  assert.equal(received, [`PUT /v1/grants ${body}`, `DELETE /v1/grants ${body}`]);
  status = 409;
  assert.ok((await grants.grant(request)).isErr());
  status = 0;
  assert.ok((await grants.grant(request)).isErr());
  await grants.stop();
  server.closeAllConnections();
  server.close();
});

test.run();
