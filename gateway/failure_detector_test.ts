import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFailureDetector } from './mod.ts';

const test = suite('failure detector');

const PEER = '10.0.0.2:7600';
const OTHER = '10.0.0.3:7600';
const SILENCE_MS = 900;
const SUSPICION_MS = 1200;

const setUp = () => {
  const clock = createFakeClock();
  const detector = createFailureDetector(clock);
  detector.retain(new Map([[PEER, 1], [OTHER, 1]]));
  return { clock, detector };
};

test('a peer from which nothing arrives is suspected for a limited time', async () => {
  const { clock, detector } = setUp();
  const sentAt = clock.now();
  await clock.advance(SILENCE_MS);
  assert.is(detector.recordSilence(PEER, sentAt), true);
  assert.is(detector.recordSilence(PEER, sentAt), false);
  assert.is(detector.isSuspect(PEER), true);
  assert.is(detector.isSuspect(OTHER), false);
  await clock.advance(SUSPICION_MS);
  assert.is(detector.isSuspect(PEER), false);
});

// One connection was silent while the peer answered other requests; requests were refused.
test('a peer is not suspected for a silent connection while another one brings bytes', async () => {
  const { clock, detector } = setUp();
  const sentAt = clock.now();
  await clock.advance(SILENCE_MS / 2);
  detector.recordContact(PEER);
  await clock.advance(SILENCE_MS / 2);
  assert.is(detector.recordSilence(PEER, sentAt), false);
  assert.is(detector.isSuspect(PEER), false);
});

test('a contact before the silence does not excuse it', async () => {
  const { clock, detector } = setUp();
  detector.recordContact(PEER);
  const sentAt = clock.now();
  await clock.advance(SILENCE_MS);
  assert.is(detector.recordSilence(PEER, sentAt), true);
});

// The suspicion outlived the answer of the peer.
test('a contact ends the suspicion of a silent peer', async () => {
  const { clock, detector } = setUp();
  detector.recordSilence(PEER, clock.now());
  await clock.advance(100);
  detector.recordContact(OTHER);
  assert.is(detector.isSuspect(PEER), true);
  detector.recordContact(PEER);
  assert.is(detector.isSuspect(PEER), false);
});

// A peer that is stopping still answers the requests that it accepted before.
test('a contact does not end the suspicion of a peer that accepts no requests', async () => {
  const { clock, detector } = setUp();
  assert.is(detector.recordClosed(PEER), true);
  await clock.advance(100);
  detector.recordContact(PEER);
  assert.is(detector.isSuspect(PEER), true);
  await clock.advance(SUSPICION_MS);
  assert.is(detector.isSuspect(PEER), false);
});

// A restarted node got no requests until the suspicion of its former process had ended.
test('a new process of a peer is not suspected for its predecessor', () => {
  for (const fail of ['silent', 'closed'] as const) {
    const { clock, detector } = setUp();
    if (fail === 'silent') detector.recordSilence(PEER, clock.now());
    else detector.recordClosed(PEER);
    detector.retain(new Map([[PEER, 1], [OTHER, 2]]));
    assert.is(detector.isSuspect(PEER), true, fail);
    detector.retain(new Map([[PEER, 2], [OTHER, 2]]));
    assert.is(detector.isSuspect(PEER), false, fail);
  }
});

test('a peer that has left the directory is forgotten', () => {
  const { detector } = setUp();
  detector.recordClosed(PEER);
  detector.retain(new Map([[OTHER, 1]]));
  assert.is(detector.isSuspect(PEER), false);
});

test.run();
