import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import type { StoreEntry } from '../store/mod.ts';
import { createFleetView } from './fleet_view.ts';
import { nodeKey } from './store_keys.ts';
import type { StoreView, ViewChange } from './store_view.ts';

const test = suite('fleet view');

const valueOf = (node: string, peerAddress: string) => JSON.stringify({
  node, startedAt: 1, peerAddress, region: 'r', failureDomain: 'd', isStopping: false,
});

/** A store view that counts how often the value of an entry is read. */
const createCountingView = () => {
  const stored = new Map<string, StoreEntry>();
  const listeners: ((change: ViewChange) => void)[] = [];
  let reads = 0;
  const put = (node: string, revision: number, value = valueOf(node, `${node}:1`)) => {
    stored.set(nodeKey(node), {
      key: nodeKey(node),
      revision,
      get value() {
        reads += 1;
        return value;
      },
    });
  };
  const view = {
    entries: () => stored.values(),
    onChange: (listener: (change: ViewChange) => void) => {
      listeners.push(listener);
    },
  } as unknown as StoreView;
  return {
    view,
    put,
    remove: (node: string) => stored.delete(nodeKey(node)),
    notify: (...nodes: string[]) => {
      for (const listener of listeners) {
        listener({ keys: nodes.map(nodeKey), mayMissChanges: false });
      }
    },
    takeReads: () => {
      const count = reads;
      reads = 0;
      return count;
    },
  };
};

// Guards against validating the entries of the whole fleet at each change of one.
test('a change decodes only the changed entry', () => {
  const counting = createCountingView();
  const fleet = createFleetView({ clock: createFakeClock(), view: counting.view });
  const nodes = Array.from({ length: 70 }, (_, index) => `n${index}`);
  for (const [index, node] of nodes.entries()) counting.put(node, index + 1);
  counting.notify(...nodes);
  counting.takeReads();
  counting.put('n7', 100, valueOf('n7', 'moved:1'));
  counting.notify('n7');
  assert.is(counting.takeReads(), 1);
  assert.is(fleet.present().get('n7')?.peerAddress, 'moved:1');
  assert.is(fleet.present().size, 70);
});

test('an entry that returns with another revision is decoded again', () => {
  const counting = createCountingView();
  const fleet = createFleetView({ clock: createFakeClock(), view: counting.view });
  counting.put('n1', 1);
  counting.notify('n1');
  counting.remove('n1');
  counting.notify('n1');
  assert.is(fleet.present().size, 0);
  counting.put('n1', 3, valueOf('n1', 'new:1'));
  counting.notify('n1');
  assert.is(fleet.find('n1')?.peerAddress, 'new:1');
});

test('an entry that cannot be decoded is reported once per revision', () => {
  const counting = createCountingView();
  const unreadable: string[] = [];
  createFleetView({
    clock: createFakeClock(), view: counting.view, onUnreadable: (key) => unreadable.push(key),
  });
  counting.put('n1', 1, 'not JSON');
  counting.notify('n1');
  counting.put('n2', 2);
  counting.notify('n2');
  assert.equal(unreadable, [nodeKey('n1')]);
  counting.put('n1', 3, '{}');
  counting.notify('n1');
  assert.equal(unreadable, [nodeKey('n1'), nodeKey('n1')]);
});

test.run();
