import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createRetryBudget } from '../admission/mod.ts';
import { createFakeClock } from '../clock/mod.ts';
import { type Outcome, RefusalError } from '../errors/mod.ts';
import type { AttemptResult } from '../forward/mod.ts';
import { noopMetrics } from '../telemetry/mod.ts';
import { type CallerRequest, createAttemptRunner } from './_attempt_runner.ts';

const refusedWith = (outcome: Outcome): AttemptResult => ({
  kind: 'refused',
  refusal: new RefusalError('refused', { step: 'test', status: 503, outcome }),
  load: undefined,
  timedOut: false,
});

const request = {
  requestId: 'r1',
  customer: 'a',
  requestClass: 'lookup',
  service: 's',
  deadlineAt: 1000,
  body: null,
  signal: new AbortController().signal,
  match: { route: { retries: 1, hedge: false }, service: { name: 's' } },
} as unknown as CallerRequest;

const runWith = async (ends: AttemptResult[]) => {
  const run = createAttemptRunner({
    clock: createFakeClock(),
    router: {
      decide: () => ({ kind: 'local', instance: 'i', version: 1 }),
      report: () => undefined,
    } as never,
    forwarder: undefined as never,
    dispatch: async () => ends.shift()!,
    retryBudget: createRetryBudget(),
    metrics: noopMetrics,
    maxWaiting: 1,
  });
  const end = await run(request, {} as never);
  return end.kind === 'refused' ? end.refusal.outcome : end.kind;
};

test('a retry that did not run does not hide that the first attempt may have run', async () => {
  assert.is(await runWith([refusedWith('unknown'), refusedWith('not run')]), 'unknown');
});

test('a request is refused as `not run` if none of its attempts ran', async () => {
  assert.is(await runWith([refusedWith('not run'), refusedWith('not run')]), 'not run');
});

test.run();
