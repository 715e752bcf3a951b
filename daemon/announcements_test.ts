import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { ANNOUNCEMENT_TTL_MS, createAnnouncements } from './mod.ts';

const announcement = {
  instance: 'a1',
  service: 'ledger',
  url: 'http://127.0.0.1:9001',
  slots: 6,
  connections: 130,
  weight: 1,
  state: 'ready',
};

const setUp = () => {
  const clock = createFakeClock();
  const announcements = createAnnouncements({ clock, logger: noopLogger });
  const changes: (string | undefined)[] = [];
  announcements.onChange((_, change) => changes.push(change?.state));
  return { clock, announcements, changes };
};

test('an announcement expires unless it is refreshed', async () => {
  const { clock, announcements, changes } = setUp();
  announcements.accept(announcement);
  await clock.advance(ANNOUNCEMENT_TTL_MS - 1);
  announcements.accept(announcement);
  await clock.advance(ANNOUNCEMENT_TTL_MS - 1);
  assert.is(announcements.instances().length, 1);
  await clock.advance(1);
  assert.is(announcements.instances().length, 0);
  assert.equal(changes, ['ready', undefined]);
});

test('a refreshed announcement during a graceful shutdown does not undo the drain', () => {
  const { announcements, changes } = setUp();
  announcements.accept(announcement);
  announcements.drainAll();
  announcements.accept(announcement);
  assert.is(announcements.find('a1')?.state, 'draining');
  assert.equal(changes, ['ready', 'draining']);
});

test('an invalid announcement is rejected and the error names the field', () => {
  const { announcements } = setUp();
  const refused = announcements.accept({ ...announcement, slots: 0 });
  assert.match(refused._unsafeUnwrapErr().message, /slots/);
  assert.match(announcements.accept(undefined)._unsafeUnwrapErr().message, /announce/);
});

test.run();
