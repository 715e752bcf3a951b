import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createStopModel } from './_test_stop_model.ts';

const test = suite('exception after a signal');

const START_MS = 800;
const CALLER_BIND = 4;

// Guards against a process that outlives its grace time, and is killed: the time of a signal that
// comes during the start is lost if an exception or a failed start ends the process.
for (const failure of ['exception', 'failed start'] as const) {
  test(`a signal during the start bounds the stop that follows: ${failure}`, async () => {
    const node = createStopModel({
      kernelMs: 0,
      bindMs: [0, 0, 0, 0, START_MS],
      failsAt: failure === 'failed start' ? CALLER_BIND : undefined,
    });
    await node.advance(0);
    node.signal();
    const work = {
      timeoutMs: 3000, bodyMs: 0, flushMs: 0, isLast: false,
    } as const;
    // Its connection stays open with a part of a head, so the listener ends with the grace time.
    node.send('peer', undefined, { ...work, workMs: 0 });
    await node.advance(START_MS - 100);
    node.readPartOfHead(0);
    node.sendControl(undefined, { ...work, workMs: 1000 });
    if (failure === 'exception') node.throwException();
    else await node.advance(100);
    await node.finish();
    assert.is(node.violations.length, 0, node.violations.join('\n'));
  });
}

test.run();
