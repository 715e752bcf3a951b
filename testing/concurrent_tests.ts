import type { Test } from 'uvu';

/**
 * Adds tests whose bodies run at the same time, before the first test of the suite. Each must have
 * servers of its own. A test fails with the error of its body; the others go on.
 *
 * @param test The suite.
 * @param bodies The body of each test, by the name of the test.
 *
 * @example
 * const test = suite('stop');
 * addConcurrentTests(test, { 'an idle node': stopIdle, 'a busy node': stopBusy });
 * test.run();
 */
export const addConcurrentTests = (
  test: Test,
  bodies: Readonly<Record<string, () => Promise<void>>>,
): void => {
  const names = Object.keys(bodies);
  const outcomes = new Map<string, PromiseSettledResult<void>>();
  test.before(async () => {
    const settled = await Promise.allSettled(names.map((name) => bodies[name]!()));
    for (const [index, name] of names.entries()) outcomes.set(name, settled[index]!);
  });
  for (const name of names) {
    test(name, () => {
      const outcome = outcomes.get(name)!;
      if (outcome.status === 'rejected') throw outcome.reason;
    });
  }
};
