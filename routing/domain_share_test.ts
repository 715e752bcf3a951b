import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  chooseInstance, createRoundTripTimes, createTransferSizes, type DomainPreference,
  planDomainShares,
} from './mod.ts';
import { createRandom, domainView } from './_test_support.ts';

const own = {
  utilisation: 1, queuedPerSlot: 1, runMs: 50, refusalRate: 0, ageMs: 0, slots: 100, stayed: 1,
};
const other = {
  ...own, domain: 'b', utilisation: 0.4, queuedPerSlot: 0, roundTripMs: 9, sent: 0,
};

test('a download stays where a small request leaves, as its transfer costs more', () => {
  const { shares } = planDomainShares(own, [other], [
    { kind: 'download', fraction: 0.5, priceMs: 90 }, { kind: 'safe', fraction: 0.5, priceMs: 2 },
  ]);
  assert.is(shares.get('download')!.size, 0);
  assert.ok(shares.get('safe')!.get('b')! > 0.2);
});

test('requests leave a slow domain without a queue, as far as the others have room', () => {
  const slow = {
    ...own, utilisation: 0.6, queuedPerSlot: 0, runMs: 300,
  };
  const kinds = [{ kind: 'safe', fraction: 1, priceMs: 2 }];
  const shareTo = (utilisation: number) => (
    planDomainShares(slow, [{ ...other, utilisation }], kinds).shares.get('safe')!.get('b') ?? 0
  );
  assert.ok(shareTo(0.4) > 0.5, `${shareTo(0.4)}`);
  assert.ok(shareTo(0.87) > 0 && shareTo(0.87) < 0.5, `${shareTo(0.87)}`);
  assert.is(shareTo(0.97), 0);
});

test('beyond the shares, requests leave a busy instance only for domains with room', () => {
  const busy = { ...domainView('a', true), load: 300 };
  const countTo = (overflowTo: DomainPreference['overflowTo']) => {
    const random = createRandom(6);
    const views = [busy, domainView('b', false)];
    const choices = Array.from({ length: 1000 }, () => (
      chooseInstance(views, { random, preference: { domain: undefined, overflowTo } })!
    ));
    return choices.filter(({ view }) => view.failureDomain === 'b').length;
  };
  assert.is(countTo(() => undefined), 1000, 'the rule by ratio decides');
  assert.is(countTo(() => ({ room: 0, costMs: 10 })), 0);
  assert.is(countTo(() => ({ room: 1, costMs: 2000 })), 0);
  assert.ok(Math.abs(countTo(() => ({ room: 0.3, costMs: 10 })) - 300) < 60);
});

test('the round trip stays near the shortest samples, and a faulty one is left out', () => {
  const roundTrips = createRoundTripTimes();
  assert.is(roundTrips.of('b'), undefined);
  for (let count = 0; count < 100; count += 1) {
    roundTrips.record('b', count % 10 === 0 ? 60 : 10);
    roundTrips.record('b', NaN);
    roundTrips.record('b', 5000);
  }
  assert.ok(roundTrips.of('b')! < 13, `${roundTrips.of('b')}`);
});

test('the sizes of a route kind follow its transfers', () => {
  const sizes = createTransferSizes();
  for (let count = 0; count < 100; count += 1) sizes.record('download', 204_800);
  assert.ok(Math.abs(sizes.kilobytesOf('download') - 200) < 5);
  assert.is(sizes.kilobytesOf('safe'), 2);
});

test.run();
