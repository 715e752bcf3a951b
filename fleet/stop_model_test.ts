/**
 * Random orders of events around the end of a node, on a fake clock. `STOP_MODEL_SEED=7` plays the
 * orders of another seed, `STOP_MODEL_SEED=fresh` those of a new one, `STOP_MODEL_RUNS=20000` more
 * of them. A failure prints its seed and the path of its order; `STOP_MODEL_PATH` plays that alone.
 */
import fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ModelSettings } from './_test_model_settings.ts';
import { createStopModel, type ModelStart, type StopModel } from './_test_stop_model.ts';
import type { ModelWork, ServingName } from './_test_model_requests.ts';

const test = suite('model of the stop');

const DEFAULT_SEED = 54;
const DEFAULT_RUNS = 1500;
const MAX_SEED = 2_147_483_647;
const MAX_COMMANDS = 100;
const MAX_TIMEOUT_MS = 3000;
const MAX_WAIT_MS = 1500;
/** Longer than the grace time, after which a node does not wait for its listeners. */
const MAX_SLOW_MS = 7000;
/** Longer than the grace time, as for the address of a host name whose lookup takes long. */
const MAX_BIND_MS = 7000;
/** A response that is handed over more slowly than the node reserves for it may be cut. */
const MAX_FLUSH_MS = 200;

/** What is sent, and the kept connection that it is sent on. */
interface Sent {
  readonly work: ModelWork;
  readonly kept: number | undefined;
}

type Command = Sent & { readonly kind: 'request'; readonly to: ServingName }
  | Sent & { readonly kind: 'nested'; readonly index: number; readonly isKnown: boolean }
  | Sent & { readonly kind: 'control' }
  | { readonly kind: 'leave' | 'partial head' | 'cut'; readonly index: number }
  | { readonly kind: 'wait'; readonly durationMs: number }
  | { readonly kind: 'slow stop'; readonly listener: ServingName; readonly delayMs: number }
  | { readonly kind: 'turns'; readonly count: number }
  | { readonly kind: 'hang-up'; readonly settings: ModelSettings }
  | { readonly kind: 'signal' | 'exception' };

type CommandOf<Kind> = Extract<Command, { readonly kind: Kind }>;

const servingArbitrary = fc.constantFrom<ServingName>('caller', 'peer');
const keptArbitrary = fc.option(fc.nat(20), { nil: undefined });
const workArbitrary: fc.Arbitrary<ModelWork> = fc.record({
  timeoutMs: fc.integer({ min: 100, max: MAX_TIMEOUT_MS }),
  workMs: fc.oneof(fc.constant(0), fc.nat(MAX_TIMEOUT_MS)),
  bodyMs: fc.oneof(fc.constant(0), fc.nat(MAX_TIMEOUT_MS)),
  flushMs: fc.oneof(fc.constant(0), fc.nat(MAX_FLUSH_MS)),
  isLast: fc.boolean(),
});
const indexArbitrary = fc.nat(20);

const commandArbitrary: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('request' as const),
      to: servingArbitrary,
      work: workArbitrary,
      kept: keptArbitrary,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('nested' as const),
      index: indexArbitrary,
      isKnown: fc.boolean(),
      work: workArbitrary,
      kept: keptArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('control' as const), work: workArbitrary, kept: keptArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('leave' as const, 'partial head' as const, 'cut' as const),
      index: indexArbitrary,
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      durationMs: fc.oneof(fc.nat(100), fc.nat(MAX_WAIT_MS)),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('slow stop' as const),
      listener: servingArbitrary,
      delayMs: fc.nat(MAX_SLOW_MS),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('turns' as const), count: fc.nat(8) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constantFrom('signal' as const, 'exception' as const) }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('hang-up' as const),
      settings: fc.constantFrom<ModelSettings>('valid', 'changed', 'invalid', 'missing'),
    }),
  },
);

const startArbitrary: fc.Arbitrary<ModelStart> = fc.record({
  loadMs: fc.nat(100),
  kernelMs: fc.nat(100),
  bindMs: fc.array(fc.oneof(
    { weight: 5, arbitrary: fc.nat(30) },
    { weight: 1, arbitrary: fc.nat(MAX_BIND_MS) },
  ), { minLength: 5, maxLength: 5 }),
  failsAt: fc.option(fc.integer({ min: -1, max: 4 }), { nil: undefined, freq: 5 }),
});

type Handlers = {
  readonly [Kind in Command['kind']]: (
    model: StopModel, command: CommandOf<Kind>,
  ) => Promise<void> | void;
};

const handlers: Handlers = {
  request: (model, { to, kept, work }) => model.send(to, kept, work),
  nested: (model, {
    index, kept, work, isKnown,
  }) => model.callNested(index, kept, work, isKnown),
  control: (model, { kept, work }) => model.sendControl(kept, work),
  leave: (model, { index }) => model.leave(index),
  'partial head': (model, { index }) => model.readPartOfHead(index),
  cut: (model, { index }) => model.cut(index),
  wait: (model, { durationMs }) => model.advance(durationMs),
  'slow stop': (model, { listener, delayMs }) => model.slowDown(listener, delayMs),
  turns: async (_, { count }) => {
    for (let turn = 0; turn < count; turn += 1) await Promise.resolve();
  },
  signal: (model) => model.signal(),
  'hang-up': (model, { settings }) => model.hangUp(settings),
  exception: (model) => model.throwException(),
};

const play = async (start: ModelStart, commands: readonly Command[]) => {
  const model = createStopModel(start);
  for (const command of commands) {
    if (model.hasExited()) break;
    await (handlers[command.kind] as (each: StopModel, command: Command) => Promise<void> | void)(
      model,
      command,
    );
  }
  await model.finish();
  return model.violations;
};

const chooseSeed = (text: string | undefined) => {
  if (text === undefined) return DEFAULT_SEED;
  return text === 'fresh' ? Date.now() % MAX_SEED : Number(text);
};

test('no order of events ends the node with a request that could be answered', async () => {
  const { STOP_MODEL_SEED, STOP_MODEL_RUNS, STOP_MODEL_PATH } = process.env;
  const seed = chooseSeed(STOP_MODEL_SEED);
  const numRuns = Number(STOP_MODEL_RUNS ?? DEFAULT_RUNS);
  if (STOP_MODEL_SEED !== undefined) console.log(`seed ${seed}, ${numRuns} runs`);
  const path = STOP_MODEL_PATH === undefined ? {} : { path: STOP_MODEL_PATH };
  const commands = fc.array(commandArbitrary, { maxLength: MAX_COMMANDS, size: 'max' });
  await fc.assert(fc.asyncProperty(startArbitrary, commands, async (start, list) => {
    const violations = await play(start, list);
    assert.is(violations.length, 0, violations.join('\n'));
  }), {
    seed, numRuns, includeErrorInReport: true, ...path,
  });
});

test.run();
