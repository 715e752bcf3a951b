import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { startPath } from './_test_path.ts';

const test = suite('peer measurements');

const RUN_MS = 120;
const BODY = 'x'.repeat(20_000);

// The whole duration would count the work of the instance as a part of the round trip.
test('a round trip leaves out the time at the peer, and sizes include bodies', async () => {
  const roundTrips: number[] = [];
  const transfers: [string, number][] = [];
  const path = await startPath({
    hop: 'peer',
    peerListeners: {
      onRoundTrip: (_address, roundTripMs) => roundTrips.push(roundTripMs),
      onTransfer: (kind, bytes) => transfers.push([kind, bytes]),
    },
  }, (socket, headOf) => {
    const answer = `${headOf()}content-length: ${BODY.length}\r\n\r\n${BODY}`;
    setTimeout(() => socket.write(answer), RUN_MS);
  });
  try {
    for (let count = 0; count < 3; count += 1) await path.call();
    assert.is(roundTrips.length, 3);
    assert.ok(roundTrips.every((roundTripMs) => roundTripMs >= 0), `${roundTrips}`);
    assert.ok(Math.min(...roundTrips) < RUN_MS / 2, `${roundTrips}`);
    assert.ok(transfers.every(([kind, bytes]) => kind === 'safe' && bytes > BODY.length));
    assert.is(transfers.length, 3);
  } finally {
    await path.stop();
  }
});

test.run();
