import assert from 'node:assert/strict';
import { isMet } from '../testing/is_met.ts';
import {
  type CallerAnswer, type CallOptions, MAX_CALM_PROCESSOR_MS, processorTimeMs, watchBuffers,
} from './_test_caller.ts';
import {
  answerSoundly, type Respond, ROUTE_TIMEOUT_MS, startPath,
} from './_test_path.ts';

/** Time after the route's timeout by which each caller must have its final answer. */
export const MAX_OVERRUN_MS = 450;
const MAX_BUFFER_GROWTH = 150_000_000;
const STREAM_INTERVAL_MS = 20;

export const hops = ['local', 'peer'] as const;

/** Writes a short text at an interval until the other end closes the connection. */
export const writeSlowly = (socket: Parameters<Respond>[0], text: string) => {
  const timer = setInterval(() => socket.write(text), STREAM_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
};

/** Sends a request to an instance that is sick once, and checks all that must hold afterwards. */
export const callSick = async (
  hop: typeof hops[number],
  sick: Respond,
  options: CallOptions & { readonly timeoutMs?: number } = {},
) => {
  const { timeoutMs = ROUTE_TIMEOUT_MS } = options;
  let isSick = true;
  const path = await startPath({ hop, timeoutMs }, (...args) => {
    if (isSick) sick(...args);
    else answerSoundly(...args);
    isSick = false;
  }, answerSoundly);
  const stopWatching = watchBuffers();
  let answer: CallerAnswer | undefined;
  const usedBefore = process.cpuUsage();
  path.call(options).then((received) => {
    answer = received;
  });
  const isInTime = await isMet(() => answer !== undefined, timeoutMs + MAX_OVERRUN_MS);
  const { user, system } = process.cpuUsage(usedBefore);
  const growth = stopWatching();
  const areSlotsFree = await isMet(() => path.slotsInUse() === 0);
  const isClosed = await isMet(() => path.instances[0]!.usedConnections() === 0);
  const processorMs = await processorTimeMs();
  const runs = path.instances.map(({ counts }) => counts.requests);
  const next = await path.call(options.kind === undefined ? {} : { kind: options.kind });
  const outcome = path.outcomes[0];
  await path.stop();
  assert.ok(isInTime && answer !== undefined, 'no final answer in time');
  assert.ok(growth < MAX_BUFFER_GROWTH, `buffers grew by ${growth} bytes`);
  assert.ok(areSlotsFree, 'the slot was not released');
  assert.ok(isClosed, 'the connection to the instance stays open');
  assert.ok(processorMs < MAX_CALM_PROCESSOR_MS, `${processorMs} ms of processor time afterwards`);
  assert.equal(next.text, 'sound');
  return {
    answer, runs, outcome, answerProcessorMs: (user + system) / 1000,
  };
};

/** Timeout of a route in ms, far above the time for which a busy machine stops a process. */
const PROMPT_ROUTE_TIMEOUT_MS = 3000;
const MAX_PROMPT_MS = 1500;
const MAX_PROMPT_PROCESSOR_MS = 400;

/** Like {@link callSick}, and checks that the answer does not wait for the deadline. */
export const callSickPromptly = async (
  hop: typeof hops[number],
  sick: Respond,
  options: CallOptions = {},
) => {
  const result = await callSick(hop, sick, { ...options, timeoutMs: PROMPT_ROUTE_TIMEOUT_MS });
  const { answer: { durationMs }, answerProcessorMs } = result;
  assert.ok(durationMs < MAX_PROMPT_MS, `the answer took ${durationMs} ms`);
  assert.ok(
    answerProcessorMs < MAX_PROMPT_PROCESSOR_MS,
    `the answer took ${answerProcessorMs} ms of processor time`,
  );
  return result;
};
