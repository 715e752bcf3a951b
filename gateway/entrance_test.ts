import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createEntranceGate } from '../admission/mod.ts';
import { createFakeClock } from '../clock/mod.ts';
import { createEntrance, type GatewayRequest } from './mod.ts';

const test = suite('entrance');

const sink = {
  start: () => 'deliver' as const,
  write: () => true,
  onDrain: () => undefined,
  end: () => undefined,
};

// A request whose time had passed in queues of this node was sent, and ended as 504 although no
// instance had received it.
test('a request without time for a hop is refused as not run and not sent', async () => {
  const clock = createFakeClock();
  let sent = 0;
  const entrance = createEntrance({
    clock,
    gate: createEntranceGate({ clock }),
    sender: {
      refuseEarly: () => undefined,
      send: async () => {
        sent += 1;
        return { kind: 'answered', status: 200 };
      },
    },
  });
  const sendWith = (remainingMs: number) => entrance.send({
    kind: 'unsafe', deadlineAt: clock.now() + remainingMs,
  } as GatewayRequest, 1, sink);
  for (const remainingMs of [-50, 0, 10]) {
    const outcome = await sendWith(remainingMs);
    assert.is(outcome.kind === 'refused' && outcome.refusal.outcome, 'not run');
    assert.is(outcome.kind === 'refused' && outcome.refusal.status, 503);
  }
  assert.is(sent, 0);
  assert.is((await sendWith(60)).kind, 'answered');
  assert.is(sent, 1);
});

test.run();
