import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createCallerAge } from './caller_age.ts';

const test = suite('caller age');

/** First attempts whose callers name between 1,700 and 2,000 ms. */
const callCalmly = (ages: ReturnType<typeof createCallerAge>, count: number) => {
  for (let index = 0; index < count; index += 1) {
    ages.ageMs('lookup', 1700 + ((index * 37) % 300));
    ages.noteEnd('lookup', false);
  }
};

test('a returning caller is as old as the time that it has used at least', () => {
  const ages = createCallerAge();
  callCalmly(ages, 100);
  const age = ages.ageMs('lookup', 1100);
  assert.ok(age >= 550 && age <= 700, `${age} ms`);
});

test('first attempts that name different times are new, nearly all of them', () => {
  const ages = createCallerAge();
  callCalmly(ages, 100);
  for (let left = 1740; left <= 2000; left += 20) assert.is(ages.ageMs('lookup', left), 0);
});

test('a few callers in a hurry do not hide returning ones', () => {
  const ages = createCallerAge();
  for (let index = 0; index < 200; index += 1) {
    ages.ageMs('lookup', index % 30 === 0 ? 200 : 1800 + (index % 10) * 20);
  }
  assert.ok(ages.ageMs('lookup', 1200) >= 500);
});

test('a few callers that return while others are served do not set the bound', () => {
  const ages = createCallerAge();
  for (let index = 0; index < 300; index += 1) {
    const isReturning = index % 12 === 0;
    ages.ageMs('lookup', isReturning ? 1100 : 1700 + ((index * 37) % 300));
    ages.noteEnd('lookup', index % 25 === 0);
  }
  assert.ok(ages.ageMs('lookup', 1100) >= 550);
});

test('the times of returning callers are not learned while many are refused', () => {
  const ages = createCallerAge();
  callCalmly(ages, 100);
  for (let index = 0; index < 500; index += 1) {
    ages.noteEnd('lookup', index % 2 === 0);
    ages.ageMs('lookup', 1100);
  }
  assert.ok(ages.ageMs('lookup', 1100) >= 550);
});

test('nothing is known of the first callers of a route', () => {
  const ages = createCallerAge();
  callCalmly(ages, 100);
  assert.is(ages.ageMs('download', 900), 0);
});

test.run();
