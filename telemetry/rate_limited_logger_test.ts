import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { createFakeClock } from '../clock/mod.ts';
import { createRateLimitedLogger, type LogFields, type Logger } from './mod.ts';

const test = suite('rate-limited logger');

const setUp = () => {
  const clock = createFakeClock();
  const lines: { readonly fields: LogFields; readonly message: string }[] = [];
  const write = (fields: LogFields, message: string) => {
    lines.push({ fields, message });
  };
  const sink: Logger = {
    debug: write, info: write, warn: write, error: write, forComponent: () => sink,
  };
  const logger = createRateLimitedLogger(sink, {
    clock, infoLinesPerSecond: 5, warnLinesPerSecond: 5, stateLinesPerSecond: 5,
  });
  return { clock, lines, logger };
};

test('many lines about requests do not suppress a line about a state change', () => {
  const { lines, logger } = setUp();
  for (let count = 0; count < 100; count += 1) logger.info({ request: `r-${count}` }, 'answered');
  logger.info({ revision: 7 }, 'the contract is active');
  assert.is(lines.filter(({ message }) => message === 'answered').length, 5);
  assert.is(lines.at(-1)?.message, 'the contract is active');
});

test('lines about the state are limited too, and dropped lines are counted', async () => {
  const { clock, lines, logger } = setUp();
  for (let count = 0; count < 100; count += 1) logger.warn({ count }, 'a peer does not answer');
  assert.is(lines.length, 5);
  await clock.advance(6000);
  logger.info({}, 'answers again');
  assert.equal(lines.at(-2)?.fields, { info: 0, warn: 0, state: 95 });
});

test.run();
