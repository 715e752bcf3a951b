import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  beginTakeover, type PlacementChange, replaceWitnesses, setHotKey, startMoves,
} from '../placement/mod.ts';
import {
  createCluster, KEYS, SERVICE, SLOT_COUNT,
} from './_test_cluster.ts';

const ROUNDS = 40;
const SEEDS = [1, 2, 3, 4, 5, 6];
const RECOVERY_LIMIT_MS = 10_000;

const runFaults = async (seed: number) => {
  const cluster = await createCluster({ nodes: 7 });
  const random = xoroshiro128plus(seed);
  const randomBelow = (limit: number) => uniformInt(random, 0, limit - 1);
  const randomNode = () => `n${randomBelow(7)}`;
  const randomOwner = () => {
    const owners = cluster.record()?.owners.filter(({ state }) => state === 'active') ?? [];
    return owners[randomBelow(owners.length || 1)]?.id ?? '';
  };
  const killed = new Set<string>();
  const frozen = new Set<string>();

  const restart = async (node: string) => {
    killed.delete(node);
    cluster.start(node).join();
  };

  const resume = (node: string) => {
    frozen.delete(node);
    cluster.resume(node);
  };

  const applyChange = (update: PlacementChange) => {
    const node = randomNode();
    if (!frozen.has(node) && !killed.has(node)) cluster.at(node).placements.update(SERVICE, update);
  };

  const faults: readonly (() => void)[] = [
    () => {
      const node = randomNode();
      if (killed.has(node)) restart(node);
      else if (!frozen.has(node) && killed.size < 2) {
        killed.add(node);
        cluster.kill(node);
      }
    },
    () => {
      const node = randomNode();
      if (frozen.has(node)) resume(node);
      else if (!killed.has(node)) {
        frozen.add(node);
        cluster.freeze(node);
      }
    },
    () => cluster.setCut(randomNode(), randomNode()),
    () => cluster.blockRecords(randomNode()),
    () => cluster.healAll(),
    () => {
      const owner = randomOwner();
      applyChange((record) => record && beginTakeover(record, owner));
    },
    () => cluster.store.setDown(randomBelow(3) === 0),
    () => cluster.store.loseReplies(1 + randomBelow(2)),
    () => cluster.store.setDelay(randomBelow(120)),
    () => {
      const [slot, to] = [randomBelow(SLOT_COUNT), randomOwner()];
      applyChange((record) => record && startMoves(record, [{ kind: 'slot', slot, to }]));
    },
    () => {
      const [slot, to] = [randomBelow(SLOT_COUNT), randomOwner()];
      applyChange((record) => record && setHotKey(record, `k${slot}`, slot, to));
    },
    () => {
      const [owner, set] = [randomOwner(), cluster.witnessesOf(randomNode())];
      applyChange((record) => record && replaceWitnesses(record, owner, set));
    },
    () => {
      const node = randomNode();
      const key = cluster.keysOf(node)[0];
      if (key === undefined || frozen.has(node)) return;
      const permit = cluster.hold(node, key);
      cluster.at(node).clock.schedule(randomBelow(1_500), permit.release);
    },
  ];

  for (let round = 0; round < ROUNDS; round += 1) {
    faults[randomBelow(faults.length)]?.();
    await cluster.advance(10 * (1 + randomBelow(60)));
  }
  cluster.healAll();
  cluster.store.setDown(false);
  cluster.store.setDelay(2);
  for (const node of [...frozen]) resume(node);
  for (const node of [...killed]) restart(node);
  return cluster.advanceUntilServed(RECOVERY_LIMIT_MS, KEYS);
};

for (const seed of SEEDS) {
  test(`two nodes never serve the same key under random faults, seed ${seed}`, async () => {
    assert.ok(await runFaults(seed) < RECOVERY_LIMIT_MS, 'all keys are served again');
  });
}

test.run();
