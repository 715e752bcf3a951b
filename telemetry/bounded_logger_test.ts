import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createBoundedLogger, type LogFields, type Logger } from './mod.ts';

const test = suite('bounded logger');

const setUp = () => {
  const clock = createFakeClock();
  const lines: { readonly fields: LogFields; readonly sentence: string }[] = [];
  const write = (fields: LogFields, sentence: string) => {
    lines.push({ fields, sentence });
  };
  const sink: Logger = {
    debug: write, info: write, warn: write, error: write, forPart: () => sink,
  };
  const logger = createBoundedLogger(sink, {
    clock, infoPerSecond: 5, warnPerSecond: 5, statePerSecond: 5,
  });
  return { clock, lines, logger };
};

test('a crest of requests does not hide a changed belief', () => {
  const { lines, logger } = setUp();
  for (let count = 0; count < 100; count += 1) logger.info({ request: `r-${count}` }, 'answered');
  logger.info({ revision: 7 }, 'the contract is in force');
  assert.is(lines.filter(({ sentence }) => sentence === 'answered').length, 5);
  assert.is(lines.at(-1)?.sentence, 'the contract is in force');
});

test('lines about the state are bounded too, and dropped ones are counted', async () => {
  const { clock, lines, logger } = setUp();
  for (let count = 0; count < 100; count += 1) logger.warn({ count }, 'a peer does not answer');
  assert.is(lines.length, 5);
  await clock.advance(6000);
  logger.info({}, 'answers again');
  assert.equal(lines.at(-2)?.fields, { info: 0, warn: 0, state: 95 });
});

test.run();
