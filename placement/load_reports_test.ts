import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFakeNetwork } from '../peer/mod.ts';
import { MemberState, type MemberUpdate } from '../proto/mod.ts';
import { createMemoryStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import {
  completeMoves, createLoadReports, createPlacements, createPlacer, createSlotOfKey,
  LOAD_REPORT_INTERVAL_MS, type LoadReports, type Placements,
} from './mod.ts';
import { createTestRelay } from './_test_relay.ts';

const SERVICE = {
  name: 's', keyed: true, slotCount: 64, checksGrants: false, refusalStatuses: [],
};
const HOT_KEY = 'hot';
const REQUESTS_PER_STEP = 20;
const STEP_MS = 500;

const memberOf = (number: number): MemberUpdate => ({
  node: `n${number}`,
  incarnation: 'a',
  counter: 0,
  state: MemberState.MEMBER_STATE_ALIVE,
  region: 'r1',
  failureDomain: `d${number}`,
  controlAddress: `c${number}`,
  peerAddress: `p${number}`,
  instances: [],
});

const setUp = async () => {
  const clock = createFakeClock();
  const network = createFakeNetwork(clock);
  const store = createMemoryStore(clock);
  const relay = createTestRelay();
  const slotOfKey = await createSlotOfKey();
  const members = [0, 1, 2, 3].map(memberOf);
  const placementsOf: Placements[] = [];
  const reportsOf = new Map<string, LoadReports>();
  let writes = 0;
  const createWriterId = () => {
    writes += 1;
    return `w${writes}`;
  };

  for (const self of members) {
    const id = `${self.node}#${self.incarnation}`;
    const random = xoroshiro128plus(self.node.length + 17);
    const transport = network.connect(self.controlAddress, self);
    const placements = createPlacements({
      store,
      relay,
      clock,
      logger: noopLogger,
      random,
      createWriterId,
    });
    const membership = { self: () => self, members: () => members };
    const placer = createPlacer({
      placements,
      membership,
      clock,
      logger: noopLogger,
      random,
      slotOfKey,
      loadOf: (service) => reportsOf.get(id)?.loadOf(service),
    });
    reportsOf.set(id, createLoadReports({
      clock, transport, membership, placements, slotOfKey, ownerIdOf: placer.ownerIdOf,
    }));
    placementsOf.push(placements);
    placements.onChange(() => {
      placements.update('s', (record) => (
        record && completeMoves(record, id, [...record.slots.keys()], [HOT_KEY])
      ));
    });
    const joined = placer.join(SERVICE, { instance: `i${self.node}`, weight: 1 });
    await clock.advance(STEP_MS);
    assert.ok((await joined).isOk());
  }
  const current = () => placementsOf[0]!.current('s')!;

  /** Counts requests at the owners of their keys; half of them may be for the hot key. */
  const runLoad = async (durationMs: number, sendsHotKey: boolean) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      for (let number = 0; number < REQUESTS_PER_STEP; number += 1) {
        const isHot = sendsHotKey && number % 2 === 0;
        const key = isHot ? HOT_KEY : `k${number}-${elapsedMs}`;
        const record = current();
        const state = record.hotKeys.find((entry) => entry.key === key)?.state
          ?? record.slots[slotOfKey(key, record.slotCount)]!;
        if (state.owner !== undefined) reportsOf.get(state.owner)?.countRequest('s', key);
      }
      await clock.advance(STEP_MS);
    }
  };
  return { clock, current, runLoad };
};

test('a hot key does not stay on a busy owner for more than a minute', async () => {
  const { current, runLoad } = await setUp();
  await runLoad(60_000, true);
  assert.equal(current().hotKeys.map(({ key }) => key), [HOT_KEY]);
});

test('removes the entry of a key that is no longer hot', async () => {
  const { current, runLoad } = await setUp();
  await runLoad(60_000, true);
  await runLoad(6 * LOAD_REPORT_INTERVAL_MS, false);
  assert.equal(current().hotKeys, []);
});

test.run();
