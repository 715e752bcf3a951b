import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createPauseGuard } from '../directory/mod.ts';
import { createMemoryLeasedStore } from '../store/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { createEvacuator, createTestRules } from './_test_evacuation.ts';

const test = suite('pause guard');

// A host that was suspended when its domain was evacuated served, on waking, the requests that
// were waiting in its sockets. Its steady clock stands still meanwhile, its time of day does not.
for (const { isStoreDown, readMs } of [
  { isStoreDown: false, readMs: 10 }, { isStoreDown: true, readMs: 2100 },
]) {
  test(`waits for ${readMs} ms after a pause (store down: ${isStoreDown})`, async () => {
    const base = createFakeClock();
    let suspendedMs = 0;
    const clock = { ...base, wallTime: () => base.wallTime() + suspendedMs };
    const store = createMemoryLeasedStore(base);
    const { operatorView, rules } = createTestRules(clock, store, 'd0', {
      // The watch in progress is on a connection that ends during the pause.
      watch: async (...call) => {
        await base.sleep(Infinity);
        return store.watch(...call);
      },
    });
    operatorView.follow(new AbortController().signal);
    await base.advance(1000);
    const guard = createPauseGuard({ clock, view: operatorView, logger: noopLogger });
    const calls = store.calls();
    await base.advance(30_000);
    assert.ok(guard.isCurrent());
    assert.is(store.calls(), calls);
    await createEvacuator(store)('d0', true);
    if (isStoreDown) store.faults.failWith = 'unavailable';
    suspendedMs = 10_000;
    assert.not(guard.isCurrent());
    await base.advance(readMs);
    assert.ok(guard.isCurrent());
    assert.is(rules.isEvacuated('d0'), !isStoreDown);
    guard.stop();
  });
}

test.run();
