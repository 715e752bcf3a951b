import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createViewHistory, type NodeEntry } from '../directory/mod.ts';
import { createMemoryLeasedStore, createStoreEras, followEras } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  decodeChanges, encodeChanges, type PeerChanges, serveChanges,
} from './changes_message.ts';
import { createRelayedChanges } from './relayed_changes.ts';

const test = suite('relays in different eras of the store');

const NODES = 20;

const entries: readonly NodeEntry[] = Array.from({ length: NODES }, (_, index) => ({
  node: `host-${String(index).padStart(2, '0')}`,
  startedAt: 1,
  peerAddress: `10.0.0.${index}:1`,
  region: 'r',
  failureDomain: 'd1',
  isStopping: false,
  instance: undefined,
}));

const changesAt = (at: number): PeerChanges => ({ at, events: [], operatorRevision: 3 });

/** Returns a revision of an era, as the views number them. */
const revisionIn = async (era: number, revision: number) => {
  const clock = createFakeClock();
  const memory = createMemoryLeasedStore(clock);
  memory.setEra(era);
  const { at } = (await followEras(memory, createStoreEras(clock)).list(''))._unsafeUnwrap();
  return at - 1 + revision;
};

// A follower took the silence of a relay that had not noticed the restore for current changes, and
// one whose relay had noticed it first left all relays alone for 5 s.
test('a follower lists the store, or asks it, and goes on to ask its relays', async () => {
  let answer: PeerChanges | undefined;
  let isRestored = false;
  let asked = 0;
  let direct = 0;
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const watch = createRelayedChanges({
    clock,
    node: 'host-10',
    failureDomain: 'd1',
    entries: () => entries,
    direct: (prefix, _, wait) => {
      direct += 1;
      return store.watch(prefix, 1, wait);
    },
    fetchChanges: async () => {
      asked += 1;
      return answer;
    },
    isAsked: () => false,
    isStoreRestored: () => isRestored,
    logger: noopLogger,
  });
  const earlier = await revisionIn(2, 9);
  const later = await revisionIn(3, 4);
  answer = changesAt(later);
  assert.is((await watch('p/', earlier, { waitMs: 0 }))._unsafeUnwrapErr().kind, 'compacted');
  assert.equal([asked, direct], [1, 0]);
  answer = changesAt(earlier);
  assert.is((await watch('p/', later, { waitMs: 0 })).isOk(), true);
  assert.equal([asked, direct], [3, 1]);
  // Relays that have just listed the store lack the changes since this node did.
  answer = undefined;
  isRestored = true;
  await watch('p/', later, { waitMs: 0 });
  await watch('p/', later, { waitMs: 0 });
  assert.equal([asked, direct], [7, 3]);
});

test('a relay tells a follower of an earlier era its own revision, and nothing else', async () => {
  const earlier = await revisionIn(2, 9);
  const later = await revisionIn(3, 4);
  const history = createViewHistory(createFakeClock());
  history.reset(later);
  const source = {
    history,
    view: { startCurrencyCheck: () => () => false, revision: () => later },
    operatorRevision: () => 3,
  };
  assert.is(
    await serveChanges(source, `changes?after=${earlier}&wait=0&era=2`),
    encodeChanges(changesAt(later)),
  );
  const text = await serveChanges(source, `changes?after=${earlier}&wait=0`);
  assert.is(decodeChanges(text!), 'compacted');
});

test.run();
