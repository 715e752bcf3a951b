import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { RefusalError } from '../errors/mod.ts';
import { decodeRecord, encodeRecord } from '../placement/mod.ts';
import type { LocalDispatch } from '../proxy/mod.ts';
import type { InjectedDefects } from './_control_plane.ts';
import type { Fault, FaultKind } from './_faults.ts';
import { checkers, checkHistory, type Rule } from './check_history.ts';
import { eventsOf } from './history.ts';
import { runSimulation } from './run_simulation.ts';

const SEED = 3;
const RECOVERY_MS = 5500;
/** Time in ms since the start of a run at which an injected defect takes effect. */
const DEFECT_STARTS_AT_MS = 8000;

const createFault = (kind: FaultKind, durationMs: number): Fault => ({
  kind, startMs: 1500, durationMs, node: 'n2', other: 'n3',
});

const runWith = (
  defects: InjectedDefects,
  schedule: readonly Fault[] = [],
  recoveryMs = RECOVERY_MS,
) => runSimulation({
  seed: SEED, defects, schedule, recoveryMs,
});

const expectViolation = async (
  rule: Rule,
  defects: InjectedDefects,
  schedule?: readonly Fault[],
  recoveryMs?: number,
) => {
  const { history } = await runWith(defects, schedule, recoveryMs);
  assert.ok(checkers[rule](history).length > 0, `the defect violates the rule '${rule}'`);
};

test('a run without defects has each kind of event and violates no rule', async () => {
  const { history } = await runWith({}, [
    createFault('kill', 1500), { ...createFault('planned stop', 1500), node: 'n4' },
  ]);
  for (const kind of ['execution start', 'answer', 'refusal', 'record', 'grant'] as const) {
    assert.ok(eventsOf(history, kind).length > 0, `the run has an event of kind ${kind}`);
  }
  assert.is(eventsOf(history, 'planned stop').length, 1);
  assert.ok(eventsOf(history, 'contract acknowledged').length > 1);
  assert.equal(checkHistory(history), []);
});

test('the checker finds a second owner when a holder ignores its expired lease', async () => {
  await expectViolation('one owner', {
    wrapHolder: (holder) => ({
      ...holder,
      isValid: () => true,
      acquire: () => ({ signal: new AbortController().signal, release: () => undefined }),
    }),
  }, [createFault('isolate', 3000)]);
});

test('the checker finds a takeover that drops the predecessors of a slot', async () => {
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
  }, [createFault('kill', 3000)]);
});

test('the checker finds a caller that retries a submission of unknown outcome', async () => {
  await expectViolation('submissions run at most once', { retriesAllSubmissions: true });
});

const refuseAsNotRun = (dispatch: LocalDispatch): LocalDispatch => async (request, sink) => {
  const end = await dispatch(request, sink);
  if (end.kind !== 'refused') return end;
  const { step, status, message } = end.refusal;
  return { ...end, refusal: new RefusalError(message, { step, status, outcome: 'not run' }) };
};

test('the checker finds a dispatch that reports `not run` after it has written', async () => {
  const schedule = ['n0', 'n1', 'n2', 'n3'].flatMap((node, index) => [
    { ...createFault('isolate', 1500), node },
    { ...createFault('pause', 600), node, startMs: 4000 + 1000 * index },
  ]);
  await expectViolation('not run is true', { wrapDispatch: refuseAsNotRun }, schedule);
});

test('the checker finds an answer whose end is lost', async () => {
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

test('the checker finds an answer that belongs to another request', async () => {
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

test('the checker finds a relay that goes back to a lower revision', async () => {
  await expectViolation('contracts in force', {
    wrapRelay: (relay, clock) => ({
      ...relay,
      list: (prefix) => relay.list(prefix).map((entry) => (
        clock.now() < DEFECT_STARTS_AT_MS ? entry : { ...entry, revision: 1 }
      )),
    }),
  });
});

test('the checker finds a contract that never comes into force on a connected node', async () => {
  let relays = 0;
  await expectViolation('contracts in force', {
    wrapRelay: (relay, clock) => {
      relays += 1;
      const isLossy = relays === 2;
      return {
        ...relay,
        onChange: (prefix, listener) => relay.onChange(prefix, (entry) => {
          const isLost = isLossy && clock.now() >= DEFECT_STARTS_AT_MS && prefix === 'contracts/';
          if (!isLost) listener(entry);
        }),
      };
    },
  }, [], 22_000);
});

test('the checker finds new requests at a draining node that keeps its slots', async () => {
  const stop = createFault('planned stop', 100);
  await expectViolation('no work for a leaving upstream', { keepsSlots: true }, [stop]);
});

test('the checker finds a planned stop that does not wait for its requests', async () => {
  // The frozen upstream still has requests in flight when the stop begins.
  const frozen = { ...createFault('freeze upstream', 2500), startMs: 3000 };
  await expectViolation('planned stops cut nothing', {
    stopsImmediately: true, keepsSlots: true,
  }, [createFault('planned stop', 100), frozen]);
});

test('the checker finds keys that are not served again', async () => {
  await expectViolation('keys are served again', {
    wrapHolder: (holder, clock) => ({
      ...holder,
      acquire: () => (clock.now() < DEFECT_STARTS_AT_MS ? holder.acquire() : undefined),
    }),
  }, [], 12_000);
});

test.run();
