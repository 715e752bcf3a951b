import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createFleetMembership } from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createContractSource } from './contract_source.ts';
import { createEvacuator, createTestRules } from './_test_evacuation.ts';

const test = suite('evacuation rules');

/** Starts the rules of a node in d0, whose watch does not return while it is silent. */
const setUp = async (options: { readonly boundMs?: number; readonly begun?: string } = {}) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const evacuate = createEvacuator(store);
  if (options.begun !== undefined) await evacuate(options.begun, true);
  const state = { isSilent: false };
  const created = createTestRules(clock, store, 'd0', {
    ...options,
    watch: async (...call) => {
      if (state.isSilent) await clock.sleep(25_000);
      return store.watch(...call);
    },
  });
  const contracts = createContractSource(created.operatorView, noopLogger);
  const objectionAtStart = created.rules.findObjection(false);
  created.operatorView.follow(new AbortController().signal);
  await clock.advance(200);
  return {
    ...created, clock, store, evacuate, state, contracts, objectionAtStart,
  };
};

// Callers beside an evacuated instance were refused by it although other domains had room.
test('senders and the node beside the instance agree, also after the end', async () => {
  const {
    clock, rules, evacuate, objectionAtStart,
  } = await setUp();
  assert.is(objectionAtStart, 'the evacuations are not known');
  const entries = [0, 1, 2].map((index) => ({
    node: `host-${index}`,
    startedAt: 1,
    peerAddress: `h${index}:1`,
    region: 'r',
    failureDomain: `d${index}`,
    isStopping: false,
    instance: {
      instance: 'i', startedAt: 1, service: 's', slots: 4, state: 'ready' as const, coldUntil: 0,
    },
  }));
  const membership = createFleetMembership({
    clock,
    fleet: { usable: () => entries } as never,
    self: () => entries[0]!,
    isSuspect: () => false,
    isEvacuated: rules.isEvacuated,
  });
  for (const [domains, isEvacuated, left] of [
    [['d0', 'unknown'], true, '12'], [['d1', 'd2'], true, ''], [['d0', 'd1'], false, '01'],
  ] as const) {
    await evacuate(domains, isEvacuated);
    await clock.advance(300);
    const usable = membership.members().filter(({ instances }) => instances.length > 0);
    assert.is(usable.map(({ node }) => node.slice(-1)).join(''), left);
    assert.is(rules.findObjection(false) === undefined, left.includes('0'));
  }
});

// Guards against an owner that is asked, or serves, for longer than its keys take to move: for
// 1.5 s if the bound leaves as much, and not at all for a node that starts when it has begun.
for (const { name, options, serviceMs } of [
  { name: 'after the begin', options: {}, serviceMs: 1500 },
  { name: 'under a short bound', options: { boundMs: 3500 }, serviceMs: 300 },
  { name: 'when a node starts midway', options: { begun: 'd0' }, serviceMs: 0 },
]) {
  test(`owners serve their keys for ${serviceMs} ms ${name}`, async () => {
    const { clock, rules, evacuate } = await setUp(options);
    if (serviceMs > 0) await evacuate('d0', true);
    await clock.advance(150);
    assert.is(rules.mayServeKeys('d0'), serviceMs > 0);
    assert.is(rules.mustRelease(), serviceMs === 0);
    await clock.advance(serviceMs);
    assert.is(rules.findObjection(true), 'the failure domain is evacuated');
    assert.is(rules.mustRelease(), serviceMs === 0 || serviceMs > 600);
  });
}

// The revision of the contract alone would not tell a follower that an evacuation has begun or
// ended, and its own watch may wait for 25 s.
test('a follower reads a begin and an end that its relay has seen, and then no more', async () => {
  const {
    clock, store, rules, contracts, evacuate, state,
  } = await setUp();
  state.isSilent = true;
  await clock.advance(10_000);
  for (const isEvacuated of [true, false]) {
    const revision = await evacuate('d0', isEvacuated);
    await clock.advance(1000);
    assert.is(rules.isEvacuated('d0'), !isEvacuated);
    contracts.noteStoredRevision(revision);
    await clock.advance(50);
    assert.is(rules.isEvacuated('d0'), isEvacuated);
    assert.is(contracts.storedRevision(), revision);
    const calls = store.calls();
    contracts.noteStoredRevision(revision);
    assert.is(store.calls(), calls);
  }
});

// A follower that was cut off from the store, but not from its relay, went on serving the domain.
test('a node without the store goes by its relay until its own view is newer', async () => {
  const {
    clock, store, operatorView, evacuations, rules, evacuate,
  } = await setUp();
  store.faults.failWith = 'unavailable';
  evacuations.noteRelayed(operatorView.revision() + 1, ['d0']);
  evacuations.noteRelayed(operatorView.revision(), []);
  assert.ok(rules.isEvacuated('d0') && rules.mayServeKeys('d0'));
  await clock.advance(2500);
  store.faults.failWith = undefined;
  await evacuate(['d1', 'd2'], true);
  await evacuate('d1', false);
  store.compact();
  await clock.advance(4000);
  evacuations.noteRelayed(operatorView.changedRevision(), evacuations.stored());
  assert.equal(evacuations.stored(), ['d2']);
  assert.not(rules.isEvacuated('d0'));
  assert.is(evacuations.evacuatedForMs('d2'), Infinity);
  assert.ok(evacuations.endedForMs('d0') < 4000);
  assert.is(evacuations.endedForMs('d1'), Infinity);
});

test.run();
