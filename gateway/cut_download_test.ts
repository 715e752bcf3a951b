import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { openConnection } from '../testing/open_connection.ts';
import { startPath } from './_test_path.ts';

const test = suite('downloads that break off');

const MEGABITS_PER_SECOND = 20;
const LARGE_BYTES = 20_000_000;
const CHUNK = Buffer.alloc(65_536);
const LEAD_MS = 60;
const CUT_DELAY_MS = 30;

const send = (address: string, id: string) => {
  const connection = openConnection(address);
  connection.socket.write([
    'GET /download/a HTTP/1.1', 'host: shop.example', `request-id: ${id}`, 'deadline-ms: 3000',
    'connection: close', '\r\n',
  ].join('\r\n'));
  return connection;
};

// Guards against a connection that closes without a byte: a download was cut while its first bytes
// waited for a busy link, so a response could still be given.
for (const hop of ['local', 'peer'] as const) {
  test(`${hop}: one whose first bytes wait for the link is answered with an error`, async () => {
    const path = await startPath({
      hop, timeoutMs: 3000, megabitsPerSecond: MEGABITS_PER_SECOND,
    }, (socket, headOf, count) => {
      if (count === 1) {
        socket.write(`${headOf()}content-length: ${LARGE_BYTES}\r\n\r\n`);
        for (let sent = 0; sent < LARGE_BYTES; sent += CHUNK.length) socket.write(CHUNK);
        return;
      }
      socket.write(`${headOf()}content-length: 5000\r\n\r\n${'x'.repeat(1000)}`);
      setTimeout(() => socket.resetAndDestroy(), CUT_DELAY_MS);
    });
    const large = send(path.callerAddress, 'large');
    await sleep(LEAD_MS);
    const { closed, received, error } = send(path.callerAddress, 'cut');
    await closed;
    assert.match(received(), /^HTTP\/1\.1 50[234] /u);
    assert.is(error(), '');
    large.socket.destroy();
    await path.stop();
  });
}

test.run();
