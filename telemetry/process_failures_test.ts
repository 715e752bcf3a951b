import { EventEmitter } from 'node:events';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { handleProcessFailures, type Logger, noopLogger } from './mod.ts';

const test = suite('process failures');

const setUp = (log: (message: string, fields: unknown) => void) => {
  const source = new EventEmitter();
  let ends = 0;
  const logger: Logger = {
    ...noopLogger,
    forComponent: () => logger,
    error: (fields, message) => log(message, fields),
  };
  handleProcessFailures({
    on: (event, listener) => source.on(event, listener),
  }, logger, () => {
    ends += 1;
  });
  return { source, ends: () => ends };
};

// A rejected promise that nobody awaited ended a whole process, with all requests in flight.
test('a rejection that is not handled is logged and does not end the process', () => {
  const lines: string[] = [];
  const { source, ends } = setUp((message, fields) => {
    lines.push(message + JSON.stringify(fields));
  });
  source.emit('unhandledRejection', new Error('bad message'));
  assert.is(lines.length, 1);
  assert.match(lines[0]!, 'Error: bad message');
  assert.is(ends(), 0);
});

test('an exception that is not handled ends the process with its reason', () => {
  const lines: string[] = [];
  const { source, ends } = setUp((message) => lines.push(message));
  source.emit('uncaughtException', new Error('damaged'));
  assert.equal(lines, ['the process ends after an exception that was not handled']);
  assert.is(ends(), 1);
});

test('a process with a damaged logger ends all the same', () => {
  const { source, ends } = setUp(() => {
    throw new Error('cannot log');
  });
  source.emit('uncaughtException', 'x');
  assert.is(ends(), 1);
});

test.run();
