import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createRequestAgeEstimator } from './request_age_estimator.ts';

const test = suite('request age estimator');

type Estimator = ReturnType<typeof createRequestAgeEstimator>;

/** Remaining time of a first attempt: varies from 1,700 to 2,000 ms. */
const firstAttemptMs = (index: number) => 1700 + ((index * 37) % 300);

const recordFirstAttempts = (estimator: Estimator, count: number) => {
  for (let index = 0; index < count; index += 1) estimator.ageMs('lookup', firstAttemptMs(index));
};

test('the age of a retry is about the part of the timeout that the caller has used', () => {
  const estimator = createRequestAgeEstimator();
  recordFirstAttempts(estimator, 100);
  const age = estimator.ageMs('lookup', 1100);
  assert.ok(age >= 600 && age <= 900, `${age} ms`);
});

test('first attempts with different timeouts have age 0', () => {
  const estimator = createRequestAgeEstimator();
  recordFirstAttempts(estimator, 100);
  for (let index = 0; index < 300; index += 1) {
    assert.is(estimator.ageMs('lookup', firstAttemptMs(index)), 0);
  }
});

test('a few callers with long timeouts do not make first attempts look like retries', () => {
  const estimator = createRequestAgeEstimator();
  for (let index = 0; index < 300; index += 1) {
    if (index % 20 === 0) estimator.ageMs('lookup', 6000);
    else assert.is(estimator.ageMs('lookup', firstAttemptMs(index)), 0);
  }
});

test('retries are recognized from the start when they are two of three requests', () => {
  const estimator = createRequestAgeEstimator();
  let misjudged = 0;
  for (let index = 0; index < 300; index += 1) {
    const isFirst = estimator.ageMs('lookup', firstAttemptMs(index)) === 0;
    const isRetry = estimator.ageMs('lookup', 1000 + (index % 400)) > 300;
    const isSecondRetry = estimator.ageMs('lookup', 500 + (index % 300)) > 300;
    if (index > 10 && !(isFirst && isRetry && isSecondRetry)) misjudged += 1;
  }
  assert.is(misjudged, 0);
});

test('the first requests of a route have age 0, whatever other routes received', () => {
  const estimator = createRequestAgeEstimator();
  recordFirstAttempts(estimator, 100);
  assert.is(estimator.ageMs('download', 900), 0);
});

test.run();
