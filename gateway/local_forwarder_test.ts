import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createEgressLink } from '../http/mod.ts';
import { createDemandMeter } from './demand_meter.ts';
import { createLocalForwarder } from './local_forwarder.ts';
import type { GatewayRequest } from './request.ts';
import { createSlotQueue } from './slot_queue.ts';

const test = suite('local forwarder');

// Each exception took a slot of the instance and a place of the link until the process ended.
test('an exception of the instance client gives the slot and the expectation back', async () => {
  const clock = createFakeClock();
  const link = createEgressLink({ clock, megabitsPerSecond: 8, maxBufferedBytes: 100_000 });
  let openExpectations = 0;
  const forwarder = createLocalForwarder({
    clock,
    instance: () => ({
      instance: 'a',
      service: 'maps',
      state: 'ready',
      acceptsUntil: Number.POSITIVE_INFINITY,
      client: {
        send: () => Promise.reject(new Error('invalid header')),
        close: () => undefined,
      },
    }),
    keys: { mayServe: () => true, retryAfterMs: () => 0, record: () => undefined },
    queue: createSlotQueue({ clock, slots: () => 1, instance: () => 'a' }),
    demand: createDemandMeter({ clock }),
    link: {
      bulkDelayMs: link.bulkDelayMs,
      expectBulk: () => {
        const end = link.expectBulk();
        openExpectations += 1;
        return () => {
          openExpectations -= 1;
          end();
        };
      },
    },
  });
  const request: GatewayRequest = {
    requestId: 'r1',
    service: 'maps',
    kind: 'download',
    priority: 1,
    workClass: 'download/1/500',
    key: undefined,
    instance: undefined,
    method: 'GET',
    path: '/',
    headers: [],
    body: null,
    deadlineAt: clock.now() + 1000,
    latencyTargetAt: clock.now() + 500,
    isCallerRetry: false,
    withheld: 0,
    signal: new AbortController().signal,
  };
  const sink = {
    start: () => 'deliver' as const,
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
  };
  const reason = await forwarder.forward(request, sink).catch(String);
  assert.is(reason, 'Error: invalid header');
  assert.is(forwarder.load().inFlight, 0);
  assert.is(openExpectations, 0);
});

test.run();
