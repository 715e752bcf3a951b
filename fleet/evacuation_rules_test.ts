import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import {
  createEvacuations, createFleetMembership, createStoreView, type NodeEntry,
} from '../directory/mod.ts';
import { createTargetChooser } from '../gateway/mod.ts';
import {
  CONTRACT_KEY, decodeEvacuatedDomain, EVACUATE_PREFIX, OPERATOR_PREFIX,
} from '../platform/mod.ts';
import { createServiceView } from '../routing/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createContractSource } from './contract_source.ts';
import { createEvacuationRules } from './evacuation_rules.ts';

const test = suite('evacuation rules');

const BOUND_MS = 5000;
const KEY = `${EVACUATE_PREFIX}d0`;

const entryOf = (index: number): NodeEntry => ({
  node: `host-${index}`,
  startedAt: 1,
  peerAddress: `10.0.0.${index}:1`,
  region: 'r',
  failureDomain: `d${index % 3}`,
  isStopping: false,
  instance: {
    instance: `i-${index}`, startedAt: 1, service: 'maps', slots: 4, state: 'ready', coldUntil: 0,
  },
});

/** Starts the rules of host-0, in d0, whose watch does not return while it is silent. */
const setUp = async (boundMs = BOUND_MS) => {
  const clock = createFakeClock();
  const store = createMemoryLeasedStore(clock);
  const stopping = new AbortController();
  let isSilent = false;
  const view = createStoreView({
    clock,
    store,
    prefix: OPERATOR_PREFIX,
    logger: noopLogger,
    watch: async (...call) => {
      if (isSilent) await clock.sleep(25_000);
      return store.watch(...call);
    },
  });
  const evacuations = createEvacuations({
    clock, view, failureDomainOf: decodeEvacuatedDomain, logger: noopLogger,
  });
  const rules = createEvacuationRules({ evacuations, failureDomain: 'd0', boundMs });
  const contracts = createContractSource(view, noopLogger);
  const entries = Array.from({ length: 6 }, (_, index) => entryOf(index));
  const membership = createFleetMembership({
    clock,
    fleet: { usable: () => entries } as never,
    self: () => entries[0]!,
    isSuspect: () => false,
    isEvacuated: rules.isEvacuated,
  });
  const serviceView = createServiceView('maps', { clock, membership });
  evacuations.onChange(serviceView.invalidate);
  const owner = { node: 'host-0', instance: 'i-0', startedAt: 1 };
  const chooser = createTargetChooser({
    self: 'host-0',
    random: Math.random,
    viewOf: () => serviceView,
    recordOf: () => ({
      version: 1,
      record: {
        nextToken: 2,
        rows: [{
          from: 0, to: 65_535, owner, successor: undefined, token: 1, handover: '',
        }],
      },
    }),
    nodeOf: (node) => ({
      node, address: node, isSuspect: false, isEvacuated: !rules.mayServeKeys('d0'),
    }),
  });
  /** Returns the nodes that are chosen for 40 requests; none when there is no target. */
  const choose = (key?: number) => {
    const nodes = new Set<string>();
    for (let count = 0; count < 40; count += 1) {
      const target = chooser.choose({ service: 'maps', kind: 'safe', key }, new Set());
      if (target.kind === 'none') continue;
      nodes.add(target.node);
      chooser.report({ service: 'maps', kind: 'safe', key }, target, {
        durationMs: 0, outcome: 'cancelled', load: undefined,
      });
    }
    return [...nodes].sort();
  };
  const write = async (puts: readonly string[], removals: readonly string[] = []) => (
    (await store.transact({
      expect: [], puts: puts.map((key) => ({ key, value: '{}' })), removals,
    }))._unsafeUnwrap()
  );
  const before = rules.findObjection(false);
  await write([CONTRACT_KEY]);
  view.follow(stopping.signal);
  await clock.advance(200);
  return {
    clock,
    store,
    rules,
    contracts,
    evacuations,
    choose,
    write,
    before,
    setSilent: () => {
      isSilent = true;
    },
    stop: () => stopping.abort(),
  };
};

// Callers beside an evacuated instance were refused by it although other domains had room.
test('a sender in an evacuated domain chooses instances of the others only', async () => {
  const {
    clock, rules, choose, write, stop,
  } = await setUp();
  assert.equal(choose(), ['host-0', 'host-3']);
  await write([KEY]);
  await clock.advance(300);
  assert.equal(rules.findObjection(false), 'the failure domain is evacuated');
  assert.equal(choose(), ['host-1', 'host-2', 'host-4', 'host-5']);
  await write([`${EVACUATE_PREFIX}d1`, `${EVACUATE_PREFIX}d2`]);
  await clock.advance(300);
  assert.equal(choose(), []);
  await write([], [KEY]);
  await clock.advance(300);
  assert.is(rules.findObjection(false), undefined);
  assert.equal(choose(), ['host-0', 'host-3']);
  stop();
});

// Guards against an owner that is asked, or serves, for longer than its keys take to move.
test('the owner of a key is asked for 1.5 s more, and serves for as long', async () => {
  const {
    clock, rules, choose, write, stop,
  } = await setUp();
  await write([KEY]);
  await clock.advance(300);
  assert.equal(choose(7), ['host-0']);
  assert.is(rules.findObjection(true), undefined);
  assert.not(rules.mustRelease());
  await clock.advance(700);
  assert.ok(rules.mustRelease());
  await clock.advance(700);
  assert.equal(choose(7), []);
  assert.is(rules.findObjection(true), 'the failure domain is evacuated');
  stop();
});

test('a short bound leaves no time for the keys', async () => {
  const {
    clock, rules, write, stop,
  } = await setUp(3000);
  await write([KEY]);
  await clock.advance(200);
  assert.is(rules.findObjection(true), 'the failure domain is evacuated');
  stop();
});

// A node that starts while the store is away must not serve a domain that may be evacuated.
// Platforms without evacuations serve then, as before.
test('only where evacuations are bounded, a node refuses until it knows them', async () => {
  const bounded = await setUp();
  assert.is(bounded.before, 'the evacuations are not known');
  bounded.stop();
  const rules = createEvacuationRules({
    evacuations: { ...bounded.evacuations, isKnown: () => false },
    failureDomain: 'd0',
    boundMs: undefined,
  });
  assert.is(rules.findObjection(false), undefined);
});

// The revision of the contract alone would not tell a follower that an evacuation has begun or
// ended, and its own watch may wait for 25 s.
test('a follower reads a begin and an end that its relay has seen, and then no more', async () => {
  const {
    clock, store, rules, contracts, write, setSilent, stop,
  } = await setUp();
  setSilent();
  await clock.advance(10_000);
  const begun = await write([KEY]);
  await clock.advance(1000);
  assert.not(rules.isEvacuated('d0'));
  contracts.noteStoredRevision(begun);
  await clock.advance(50);
  assert.ok(rules.isEvacuated('d0'));
  await write([], [KEY]);
  contracts.noteStoredRevision(begun + 2);
  await clock.advance(50);
  assert.not(rules.isEvacuated('d0'));
  assert.is(contracts.storedRevision(), begun + 2);
  const calls = store.calls();
  contracts.noteStoredRevision(begun + 2);
  await clock.advance(50);
  assert.is(store.calls(), calls);
  stop();
});

test.run();
