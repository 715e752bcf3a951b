import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRandom } from '../admission/_test_support.ts';
import { stableDraw } from './_stable_draw.ts';

const test = suite('stable draw');

const CALLERS = 4000;
const ADMITTED_FRACTION = 0.3;

/** Returns the fraction of callers that pass within three attempts at a distance in ms. */
const passWithin = (distanceMs: number) => {
  const random = createRandom(9);
  let passed = 0;
  for (let caller = 0; caller < CALLERS; caller += 1) {
    const arrivedAt = random() * 1e6;
    const deadlineAt = arrivedAt + 2000 + random() * 1000;
    const passes = [0, 1, 2].some((attempt) => (
      stableDraw(deadlineAt + random() * 3, arrivedAt + attempt * distanceMs) < ADMITTED_FRACTION
    ));
    if (passes) passed += 1;
  }
  return passed / CALLERS;
};

// Guards against callers that win by coming back at once: with a new draw each time, two thirds of
// them would pass at an entrance that admits three in ten.
test('callers that return at once pass hardly more often than with one attempt', () => {
  const [atOnce, patient] = [passWithin(5), passWithin(600)];
  console.log('passed within three attempts', { atOnce, patient });
  assert.ok(atOnce < 0.36, `${atOnce} of those that return at once`);
  assert.ok(patient > 0.6, `${patient} of the patient ones`);
});

test.run();
