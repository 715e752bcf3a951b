import { setTimeout as sleep } from 'node:timers/promises';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createSystemClock } from '../clock/mod.ts';
import { createKeyLoad } from '../ranges/mod.ts';
import { noopLogger } from '../telemetry/mod.ts';
import { endlessFraming, startEndlessServer, withMemoryGrowth } from '../testing/endless_server.ts';
import { fetchPeerChanges } from './changes_message.ts';
import { createLoadCollector } from './load_collector.ts';

const test = suite('messages between nodes');

const TIME_LIMIT_MS = 2000;
const MAX_MEMORY_GROWTH = 120_000_000;

const collectFrom = async (address: string) => {
  const clock = createSystemClock();
  const collector = createLoadCollector({
    clock,
    node: 'n-1',
    load: createKeyLoad(clock),
    logger: noopLogger,
    ownRanges: () => [],
    ownCapacity: () => 0,
    ownWork: () => ({ slots: 1, classes: [] }),
  });
  const owner = { node: 'n-2', instance: 'i-2', startedAt: 1 };
  await collector.collect([{ owner, address }]);
  return 'no report';
};

const messages: Readonly<Record<string, (address: string) => Promise<unknown>>> = {
  'a load report': collectFrom,
  'a report of changes': (address) => fetchPeerChanges(address, 1).catch(() => 'no changes'),
};

// Guards against a peer whose answer has no end and fills the memory of the nodes that ask it.
for (const [name, send] of Object.entries(messages)) {
  test(`${name} without end is given up, and little of it is kept`, async () => {
    const server = await startEndlessServer();
    const { result, growth } = await withMemoryGrowth(() => Promise.race([
      send(server.address), sleep(TIME_LIMIT_MS, undefined, { ref: false }),
    ]));
    await sleep(100);
    const openConnections = server.openConnections();
    server.close();
    assert.ok(result !== undefined, 'the message goes on');
    assert.ok(growth < MAX_MEMORY_GROWTH, `the memory grew by ${growth} bytes`);
    assert.is(openConnections, 0);
  });
}

// Guards against bytes that are no answer of a peer and are read until the message's timeout.
for (const [bytes, answer] of Object.entries(endlessFraming)) {
  test(`a report of changes does not wait for the end of ${bytes}`, async () => {
    const server = await startEndlessServer(answer);
    const result = await fetchPeerChanges(server.address, 1).catch((error: Error) => error);
    server.close();
    assert.instance(result, Error);
    assert.is.not((result as Error).name, 'TimeoutError');
  });
}

test.run();
