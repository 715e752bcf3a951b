import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Finding } from './_check_round.ts';
import { type RoundResult, runRound } from './_run_round.ts';

const test = suite('stop of a starved node');

/** More seeds are run by hand: `npx tsx soak/main.ts --seed 1 --rounds 50`. */
const SEEDS = [1, 2] as const;
const CLOSED: Finding['what'] = 'closed without a byte';

const rounds = new Map<number, RoundResult>();

test.before(async () => {
  for (const seed of SEEDS) rounds.set(seed, await runRound(seed));
});

for (const seed of SEEDS) {
  // Guards against a stop that closes connections without an answer to a request that runs.
  test(`seed ${seed}: what an instance runs is answered through stops and restarts`, () => {
    const { counts, findings } = rounds.get(seed)!;
    assert.equal(findings.filter(({ what }) => what !== CLOSED), []);
    assert.ok(counts.stops > 0);
    assert.ok(counts.ranThroughPeer > 0);
  });

  // Guards against a stop that resets connections whose requests it has not read.
  test(`seed ${seed}: no connection closes without a byte of an answer`, () => {
    assert.equal(rounds.get(seed)!.findings.filter(({ what }) => what === CLOSED), []);
  });
}

test.run();
