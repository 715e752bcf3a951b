import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RefusalError } from '../errors/mod.ts';
import { decodeRecord, encodeRecord } from '../placement/mod.ts';
import type { LocalDispatch } from '../proxy/mod.ts';
import type { PlantedFaults } from './_control_parts.ts';
import type { Fault, FaultKind } from './_faults.ts';
import { checkers, checkHistory, type Rule } from './check_history.ts';
import { eventsOf } from './history.ts';
import { runHistory } from './run_history.ts';

const SEED = 3;
const RECOVERY_MS = 5500;
/** Time of a run at which a planted fault of the product begins. */
const PLANTED_AT_MS = 8000;

const fault = (kind: FaultKind, durationMs: number): Fault => ({
  kind, startMs: 1500, durationMs, node: 'n2', other: 'n3',
});

const runWith = (
  planted: PlantedFaults,
  schedule: readonly Fault[] = [],
  recoveryMs = RECOVERY_MS,
) => runHistory({
  seed: SEED, planted, schedule, recoveryMs,
});

const expectViolation = async (
  rule: Rule,
  planted: PlantedFaults,
  schedule?: readonly Fault[],
  recoveryMs?: number,
) => {
  const { history } = await runWith(planted, schedule, recoveryMs);
  assert.ok(checkers[rule](history).length > 0, `the fault breaks the rule '${rule}'`);
};

test('a good run with each kind of event breaks no rule', async () => {
  const { history } = await runWith({}, [
    fault('kill', 1500), { ...fault('planned stop', 1500), node: 'n4' },
  ]);
  for (const kind of ['execution start', 'answer', 'refusal', 'record', 'grant'] as const) {
    assert.ok(eventsOf(history, kind).length > 0, `the run has an event of kind ${kind}`);
  }
  assert.is(eventsOf(history, 'planned stop').length, 1);
  assert.ok(eventsOf(history, 'contract acknowledged').length > 1);
  assert.equal(checkHistory(history), []);
});

test('a holder that ignores its lease makes a second owner, which is found', async () => {
  await expectViolation('one owner', {
    wrapHolder: (holder) => ({
      ...holder,
      isValid: () => true,
      acquire: () => ({ signal: new AbortController().signal, release: () => undefined }),
    }),
  }, [fault('isolate', 3000)]);
});

test('a takeover that forgets the former owner is found', async () => {
  await expectViolation('no lost assignment', {
    wrapStore: (store) => ({
      ...store,
      compareAndSwap: (key, expectedRevision, value) => {
        const decoded = decodeRecord(value);
        if (decoded.isErr()) return store.compareAndSwap(key, expectedRevision, value);
        const slots = decoded.value.slots.map((state) => ({ ...state, predecessors: [] }));
        const changed = encodeRecord({ ...decoded.value, slots });
        return store.compareAndSwap(key, expectedRevision, changed);
      },
    }),
  }, [fault('kill', 3000)]);
});

test('a caller that repeats a submission of unknown outcome is found', async () => {
  await expectViolation('submissions run at most once', { repeatsSubmissions: true });
});

const saysNotRun = (dispatch: LocalDispatch): LocalDispatch => async (request, sink) => {
  const end = await dispatch(request, sink);
  if (end.kind !== 'refused') return end;
  const { step, status, message } = end.refusal;
  return { ...end, refusal: new RefusalError(message, { step, status, outcome: 'not run' }) };
};

test('a dispatch that says `not run` after it has written is found', async () => {
  const schedule = ['n0', 'n1', 'n2', 'n3'].flatMap((node, index) => [
    { ...fault('isolate', 1500), node },
    { ...fault('pause', 600), node, startMs: 4000 + 1000 * index },
  ]);
  await expectViolation('not run is true', { wrapDispatch: saysNotRun }, schedule);
});

test('an answer that lost its end is found', async () => {
  await expectViolation('answers are whole', {
    wrapDispatch: (dispatch) => (request, sink) => {
      let chunks = 0;
      return dispatch(request, {
        ...sink,
        write: (chunk) => {
          chunks += 1;
          return chunks === 1 ? sink.write(chunk) : true;
        },
      });
    },
  });
});

test('an answer that belongs to another request is found', async () => {
  let former: Buffer | undefined;
  await expectViolation('answers are whole', {
    wrapDispatch: (dispatch) => (request, sink) => dispatch(request, {
      ...sink,
      write: (chunk) => {
        const given = former ?? chunk;
        former = chunk;
        return sink.write(given);
      },
    }),
  });
});

test('a relay that accepts a lower revision is found', async () => {
  await expectViolation('contracts in force', {
    wrapRelay: (relay, clock) => ({
      ...relay,
      list: (prefix) => relay.list(prefix).map((entry) => (
        clock.now() < PLANTED_AT_MS ? entry : { ...entry, revision: 1 }
      )),
    }),
  });
});

test('a contract that does not come into force on a connected node is found', async () => {
  let relays = 0;
  await expectViolation('contracts in force', {
    wrapRelay: (relay, clock) => {
      relays += 1;
      const isDeaf = relays === 2;
      return {
        ...relay,
        onChange: (prefix, listener) => relay.onChange(prefix, (entry) => {
          const isLost = isDeaf && clock.now() >= PLANTED_AT_MS && prefix === 'contracts/';
          if (!isLost) listener(entry);
        }),
      };
    },
  }, [], 22_000);
});

test('a leaving node that keeps its slots gets new work, which is found', async () => {
  const stop = fault('planned stop', 100);
  await expectViolation('no work for a leaving upstream', { keepsSlots: true }, [stop]);
});

test('a planned stop that does not wait for its requests is found', async () => {
  // The frozen upstream has requests in flight when the stop comes.
  const frozen = { ...fault('freeze upstream', 2500), startMs: 3000 };
  await expectViolation('planned stops cut nothing', {
    stopsAtOnce: true, keepsSlots: true,
  }, [fault('planned stop', 100), frozen]);
});

test('a fleet that serves no key again is found', async () => {
  await expectViolation('keys are served again', {
    wrapHolder: (holder, clock) => ({
      ...holder,
      acquire: () => (clock.now() < PLANTED_AT_MS ? holder.acquire() : undefined),
    }),
  }, [], 12_000);
});

test.run();
