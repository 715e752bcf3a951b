import type { Runtime } from 'node:inspector';
import { Session } from 'node:inspector/promises';

/** Processor time by step of the request path, in ms. */
export type StepTimes = Readonly<Record<string, number>>;

/** A sampling profile of this process. */
export interface ProcessorProfile {
  readonly start: () => Promise<void>;
  /** Stops sampling and returns the self time by step. */
  readonly stop: () => Promise<StepTimes>;
}

const SAMPLING_INTERVAL_US = 200;
const US_PER_MS = 1000;

/** Steps by the source of a function; the first match wins. */
const stepPatterns: readonly (readonly [RegExp, string])[] = [
  [/^\(garbage collector\)/u, 'garbage collection'],
  [/^\(idle\)/u, 'idle'],
  [/^\((?:program|root)\)/u, 'runtime and system calls'],
  [/\/gateway\/(?:caller_listener|route_table|request_age_estimator)/u, 'accept and route'],
  [/\/gateway\/(?:slot_queue|processing_times|service_retry_budget|local_forwarder)/u, 'admit'],
  [/\/(?:routing|ranges|membership)\/|\/gateway\/target_chooser/u, 'choose'],
  [/\/gateway\/_hop_header/u, 'hop header'],
  [/\/forward\/headers/u, 'header copies'],
  [/\/(?:gateway|forward|http)\//u, 'forward'],
  [/\/telemetry\/(?:logger|rate_limited_logger|output_stream)|\/bunyan\//u, 'log'],
  [/\/telemetry\/|\/prom-client\//u, 'metrics'],
  [/^(?:writev|write(?:Latin1|Utf8)String|writeBuffer|shutdown)$/u, 'socket calls'],
  [/\/(?:fleet|directory|platform|store|standins)\/|\/(?:zod|hono|@hono)\//u, 'idle tasks'],
  [/\/undici\//u, 'undici'],
  [/node:_http_|node:internal\/http/u, 'node:http'],
  [/node:net|stream_base_commons|node:internal\/streams|node:stream/u, 'sockets and streams'],
  [/timers/u, 'timers'],
  [/event_target|abort_controller|node:events/u, 'events and abort signals'],
];

const stepOf = ({ functionName, url }: Pick<Runtime.CallFrame, 'functionName' | 'url'>) => {
  const source = url === '' ? functionName : url;
  return stepPatterns.find(([pattern]) => pattern.test(source))?.[1] ?? 'other';
};

/** Creates a profile of this process, which does not sample yet. */
export const createProcessorProfile = (): ProcessorProfile => {
  const session = new Session();
  return {
    start: async () => {
      session.connect();
      await session.post('Profiler.enable');
      await session.post('Profiler.setSamplingInterval', { interval: SAMPLING_INTERVAL_US });
      await session.post('Profiler.start');
    },
    stop: async () => {
      const { profile } = await session.post('Profiler.stop');
      session.disconnect();
      const steps: Record<string, number> = {};
      const stepById = new Map(profile.nodes.map(({ id, callFrame }) => [id, stepOf(callFrame)]));
      for (const [index, id] of (profile.samples ?? []).entries()) {
        const step = stepById.get(id)!;
        const elapsedMs = (profile.timeDeltas?.[index] ?? 0) / US_PER_MS;
        steps[step] = (steps[step] ?? 0) + elapsedMs;
      }
      return steps;
    },
  };
};
