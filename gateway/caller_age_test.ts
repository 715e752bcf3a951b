import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createCallerAge } from './caller_age.ts';

const test = suite('caller age');

type Ages = ReturnType<typeof createCallerAge>;

/** Time that a first attempt names: 1,700 to 2,000 ms, each another one. */
const firstTime = (index: number) => 1700 + ((index * 37) % 300);

const callFirst = (ages: Ages, count: number) => {
  for (let index = 0; index < count; index += 1) ages.ageMs('lookup', firstTime(index));
};

test('a returning caller is about as old as the time that it has used', () => {
  const ages = createCallerAge();
  callFirst(ages, 100);
  const age = ages.ageMs('lookup', 1100);
  assert.ok(age >= 600 && age <= 900, `${age} ms`);
});

test('first attempts that name different times are new', () => {
  const ages = createCallerAge();
  callFirst(ages, 100);
  for (let index = 0; index < 300; index += 1) {
    assert.is(ages.ageMs('lookup', firstTime(index)), 0);
  }
});

test('a few patient callers do not make all others old', () => {
  const ages = createCallerAge();
  for (let index = 0; index < 300; index += 1) {
    if (index % 20 === 0) ages.ageMs('lookup', 6000);
    else assert.is(ages.ageMs('lookup', firstTime(index)), 0);
  }
});

test('a crest in which two of three callers return is told from the first request on', () => {
  const ages = createCallerAge();
  let wrong = 0;
  for (let index = 0; index < 300; index += 1) {
    const isNew = ages.ageMs('lookup', firstTime(index)) === 0;
    const isOld = ages.ageMs('lookup', 1000 + (index % 400)) > 300;
    const isOlder = ages.ageMs('lookup', 500 + (index % 300)) > 300;
    if (index > 10 && !(isNew && isOld && isOlder)) wrong += 1;
  }
  assert.is(wrong, 0);
});

test('nothing is known of the first callers of a route', () => {
  const ages = createCallerAge();
  callFirst(ages, 100);
  assert.is(ages.ageMs('download', 900), 0);
});

test.run();
