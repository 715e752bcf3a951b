import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { MemberState } from '../proto/mod.ts';
import { createServiceView } from './mod.ts';
import { instance, member } from './_test_support.ts';

// Guards against a service without an instance while nodes that stop still accept requests.
test('instances of leaving nodes are chosen after all but those of suspected ones', () => {
  const clock = createFakeClock();
  let members = [
    member('n1', [instance('i-n1')]),
    member('n2', [instance('i-n2')]),
    { ...member('n3', [instance('i-n3')]), state: MemberState.MEMBER_STATE_SUSPECT },
  ];
  const view = createServiceView('s', {
    clock,
    membership: { self: () => member('n0'), members: () => members },
    isLeaving: (node) => node === 'n2',
  });
  const instances = () => view.instanceViews(new Set()).map((each) => each.instance);
  assert.equal(instances(), ['i-n1']);
  members = members.slice(1);
  view.invalidate();
  assert.equal(instances(), ['i-n2']);
  members = members.slice(1);
  view.invalidate();
  assert.equal(instances(), ['i-n3']);
});

test.run();
