import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createKernel } from './mod.ts';

test('services start after their dependencies and stop in reverse order', async () => {
  const events: string[] = [];
  const kernel = createKernel();
  const define = (name: string, needs: readonly string[]) => kernel.register({
    name,
    needs,
    start: () => {
      events.push(`start ${name}`);
      return {
        service: name,
        stop: () => {
          events.push(`stop ${name}`);
        },
      };
    },
  });
  define('proxy', ['lease']);
  define('lease', ['clock']);
  define('clock', []);
  await kernel.start();
  assert.is(kernel.find<string>('lease'), 'lease');
  await kernel.stop();
  assert.equal(events, [
    'start clock',
    'start lease',
    'start proxy',
    'stop proxy',
    'stop lease',
    'stop clock',
  ]);
});

test('a dependency cycle and a missing service are errors that name the service', async () => {
  const cyclic = createKernel();
  cyclic.register({ name: 'a', needs: ['b'], start: () => ({ service: 1 }) });
  cyclic.register({ name: 'b', needs: ['a'], start: () => ({ service: 1 }) });
  const outcome = await cyclic.start().catch((error: Error) => error.message);
  assert.match(String(outcome), /'a' depends on itself/);
  assert.throws(() => createKernel().find('x'), /'x' is not running/);
});

test.run();
