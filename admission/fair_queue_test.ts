import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { createFairQueue, type FairQueueEntry } from './mod.ts';

const SHARES: Readonly<Record<string, number>> = { a: 1, b: 2, c: 5 };

type Step = { readonly kind: 'push'; readonly customer: string; readonly deadlineAt: number }
  | { readonly kind: 'pop' };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('push' as const),
    customer: fc.constantFrom('a', 'b', 'c'),
    deadlineAt: fc.nat(1000),
  }),
  fc.constant({ kind: 'pop' as const }),
);

/** Reference implementation of start-time fair queueing, which sorts all entries at each pop. */
const createReference = () => {
  const waiting: (FairQueueEntry & { readonly sequence: number })[] = [];
  const nextStartTag = new Map<string, number>();
  const backloggedSince = new Map<string, number>();
  let virtualTime = 0;
  let sequence = 0;
  return {
    push: (entry: FairQueueEntry) => {
      if (!waiting.some(({ customer }) => customer === entry.customer)) {
        const start = Math.max(virtualTime, nextStartTag.get(entry.customer) ?? 0);
        nextStartTag.set(entry.customer, start);
        backloggedSince.set(entry.customer, sequence);
      }
      waiting.push({ ...entry, sequence });
      sequence += 1;
    },
    pop: () => {
      waiting.sort((left, right) => (
        nextStartTag.get(left.customer)! - nextStartTag.get(right.customer)!
        || backloggedSince.get(left.customer)! - backloggedSince.get(right.customer)!
        || left.deadlineAt - right.deadlineAt
        || left.sequence - right.sequence
      ));
      const first = waiting.shift();
      if (first === undefined) return undefined;
      virtualTime = nextStartTag.get(first.customer)!;
      nextStartTag.set(first.customer, virtualTime + 1 / first.share);
      return first;
    },
  };
};

test('the order equals that of sorting all entries by start tag and deadline', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 200 }), (steps) => {
    const queue = createFairQueue<FairQueueEntry>();
    const reference = createReference();
    for (const step of steps) {
      if (step.kind === 'push') {
        const { customer, deadlineAt } = step;
        const entry = { customer, share: SHARES[customer]!, deadlineAt };
        queue.push(entry);
        reference.push(entry);
      } else {
        const expected = reference.pop();
        const actual = queue.pop();
        assert.equal(
          [actual?.customer, actual?.deadlineAt],
          [expected?.customer, expected?.deadlineAt],
        );
      }
    }
  }), { seed: 21, numRuns: 300 });
});

test('a customer that sends ten times its share does not delay a quiet customer', () => {
  const queue = createFairQueue<FairQueueEntry>();
  const push = (customer: string, count: number) => {
    for (let index = 0; index < count; index += 1) {
      queue.push({ customer, share: 1, deadlineAt: index });
    }
  };
  push('flood', 1000);
  for (let index = 0; index < 100; index += 1) queue.pop();
  push('quiet', 100);
  const served = Array.from({ length: 200 }, () => queue.pop()!.customer);
  assert.is(served.filter((customer) => customer === 'quiet').length, 100);
  assert.ok(served.indexOf('quiet') <= 1);
});

test('a removed entry is not charged to its customer', () => {
  const queue = createFairQueue<FairQueueEntry>();
  const entries = [1, 2, 3].map((deadlineAt) => ({ customer: 'a', share: 1, deadlineAt }));
  for (const entry of entries) queue.push(entry);
  queue.push({ customer: 'b', share: 1, deadlineAt: 0 });
  assert.ok(queue.remove(entries[0]!) && queue.remove(entries[1]!));
  assert.not.ok(queue.remove(entries[0]!));
  assert.equal([queue.pop()?.customer, queue.pop()?.customer, queue.size()], ['a', 'b', 0]);
});

test('charging an empty queue is equivalent to a push and a pop', () => {
  // Otherwise requests that never wait would not count towards the share of their customer.
  fc.assert(fc.property(fc.array(fc.constantFrom('a', 'b', 'c')), (customers) => {
    const charged = createFairQueue<FairQueueEntry>();
    const pushed = createFairQueue<FairQueueEntry>();
    const entryOf = (customer: string) => (
      { customer, share: customer.charCodeAt(0) - 96, deadlineAt: 0 }
    );
    for (const customer of customers) {
      charged.charge(entryOf(customer));
      pushed.push(entryOf(customer));
      pushed.pop();
    }
    for (let index = 0; index < 30; index += 1) {
      for (const queue of [charged, pushed]) queue.push(entryOf('abc'[index % 3]!));
    }
    const drain = (queue: typeof charged) => (
      Array.from({ length: 30 }, () => queue.pop()?.customer)
    );
    assert.equal(drain(charged), drain(pushed));
  }), { seed: 22, numRuns: 100 });
});

test.run();
