import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type {
  PlacementListener, PlacementRecord, Placements, SlotState,
} from '../placement/mod.ts';
import { type LogFields, type Logger, noopLogger } from '../telemetry/mod.ts';
import { createRouter } from './mod.ts';
import { createFakeMembership } from '../membership/mod.ts';
import { member } from './_test_support.ts';

const OWNER = {
  id: 'n2#1',
  node: 'n2',
  incarnation: '1',
  instance: 'i2',
  controlAddress: 'c2',
  peerAddress: 'p2',
  region: 'r',
  failureDomain: 'd',
  weight: 1,
  witnesses: [],
  previousWitnesses: [],
  state: 'active',
} as const;

const slot = (change: Partial<SlotState>): SlotState => ({
  owner: OWNER.id, token: 1, predecessors: [], movingTo: undefined, ...change,
});

const createRecord = (slots: readonly SlotState[], version = 7): PlacementRecord => ({
  service: 's',
  version,
  slotCount: slots.length,
  owners: [OWNER],
  slots,
  writer: 'w',
  hotKeys: [{ key: 'hot', state: slot({ movingTo: 'n1#1' }) }],
});

const setUp = (first: PlacementRecord | undefined) => {
  const clock = createFakeClock();
  let record = first;
  const listeners = new Set<PlacementListener>();
  const placements = {
    current: () => record,
    services: () => ['s'],
    onChange: (listener: PlacementListener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  } as unknown as Placements;
  const accept = (next: PlacementRecord) => {
    record = next;
    for (const listener of [...listeners]) listener(next, undefined);
  };
  const lines: (LogFields & { readonly sentence: string })[] = [];
  const logger: Logger = {
    ...noopLogger,
    info: (fields, sentence) => lines.push({ ...fields, sentence }),
    forComponent: (part) => {
      assert.is(part, 'routing');
      return logger;
    },
  };
  const router = createRouter({
    clock,
    placements,
    membership: createFakeMembership([member('n1')]).membership,
    slotOf: (key) => Number(key) || 0,
    logger,
    random: () => 0,
  });
  const decide = (key: string, excluded: readonly string[] = []) => router.decide({
    requestId: 'q',
    service: {
      name: 's', keyed: true, checksGrants: false, refusalStatuses: [],
    },
    key,
    requestClass: 'lookup',
    excluded: new Set(excluded),
  });
  return {
    clock, router, decide, accept, listeners, lines,
  };
};

test('a keyed request is routed to its owner unless the slot is moving or has none', () => {
  const { decide } = setUp(createRecord([
    slot({}), slot({ movingTo: 'n3#1' }), slot({ predecessors: ['n9#1'] }),
    slot({ owner: undefined }),
  ]));
  const target = decide('0');
  assert.is(target.kind === 'peer' && target.peerAddress, 'p2');
  assert.equal(
    ['1', '2', '3', 'hot'].map((key) => decide(key).kind),
    ['wait', 'peer', 'none', 'wait'],
  );
  assert.is(decide('0', ['i2']).kind, 'none');
  assert.is(setUp(undefined).decide('0').kind, 'none');
});

test('each decision logs one line with request, instance and reason', () => {
  const { decide, lines } = setUp(createRecord([slot({})]));
  decide('0');
  decide('hot');
  assert.equal(lines.map(({ request, instance, reason }) => [request, instance, reason]), [
    ['q', 'i2', 'owner of the slot'], ['q', undefined, 'the slot is being moved'],
  ]);
});

test('a wait ends on a newer record, on timeout, or when the caller aborts', async () => {
  const {
    clock, router, accept, listeners,
  } = setUp(createRecord([slot({})], 7));
  const outcomes: string[] = [];
  const wait = async (name: string, version: number, signal = new AbortController().signal) => {
    outcomes.push(`${name} ${await router.waitForChange('s', version, 50, signal)}`);
  };
  const abort = new AbortController();
  wait('old', 6);
  wait('change', 7);
  wait('late', 8);
  wait('gone', 8, abort.signal);
  abort.abort();
  await clock.advance(10);
  accept(createRecord([slot({})], 8));
  await clock.advance(100);
  assert.equal(outcomes, ['old true', 'gone false', 'change true', 'late false']);
  assert.equal([listeners.size, clock.pending()], [0, 0]);
});

test.run();
