import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createCallerAge } from './caller_age.ts';

const test = suite('caller age');

test('a returning caller is as old as the time that it has used', () => {
  const ages = createCallerAge(createFakeClock());
  for (let count = 0; count < 10; count += 1) assert.is(ages.ageMs('lookup', 2000), 0);
  assert.is(ages.ageMs('lookup', 1340), 660);
  assert.is(ages.ageMs('lookup', 2000), 0);
});

test('a few patient callers do not make all others seem to return', () => {
  const ages = createCallerAge(createFakeClock());
  for (let count = 0; count < 40; count += 1) {
    if (count % 10 === 0) ages.ageMs('lookup', 6000);
    ages.ageMs('lookup', 2000);
  }
  assert.is(ages.ageMs('lookup', 2000), 0);
  assert.is(ages.ageMs('lookup', 6000), 0);
});

test('routes have deadlines of their own', () => {
  const ages = createCallerAge(createFakeClock());
  for (let count = 0; count < 5; count += 1) ages.ageMs('lookup', 2000);
  assert.is(ages.ageMs('download', 900), 0);
});

test('callers with a new deadline are not taken for returning ones for long', async () => {
  const clock = createFakeClock();
  const ages = createCallerAge(clock);
  for (let count = 0; count < 100; count += 1) ages.ageMs('lookup', 2000);
  for (let count = 0; count < 100; count += 1) {
    await clock.advance(100);
    ages.ageMs('lookup', 1000);
  }
  assert.is(ages.ageMs('lookup', 1000), 0);
});

test('the times of many returning callers do not fill the memory', () => {
  const ages = createCallerAge(createFakeClock());
  for (let count = 0; count < 5; count += 1) ages.ageMs('lookup', 2000);
  for (let left = 0; left < 1900; left += 1) {
    ages.ageMs('lookup', left);
    if (left % 4 === 0) ages.ageMs('lookup', 2000);
  }
  assert.is(ages.ageMs('lookup', 1500), 500);
});

test.run();
