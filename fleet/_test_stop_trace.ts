import type { ProcessRecord } from './_test_starved_node.ts';
import { TRACE_NAME } from './_test_traced_connections.ts';

const MAX_TRACE_LINES = 30;
const END_LINES = [
  'connection ended with a request open', 'process ended with a request open', 'node: stopped"',
  'no longer accepting requests', 'the process is to end', 'process ends', 'node: stopping',
  'the settings', '"heap: ', 'injected exception',
] as const;

/** Returns the last lines of the log of a process that are wanted. */
export const linesOf = (
  { process }: ProcessRecord,
  isWanted: (line: string) => boolean,
  maxLines = MAX_TRACE_LINES,
): readonly string[] => process.log().split('\n').filter(isWanted).slice(-maxLines);

/** Returns the lines of a process about its end, and those of connections with requests open. */
export const endLinesOf = (record: ProcessRecord): readonly string[] => (
  linesOf(record, (line) => END_LINES.some((text) => line.includes(text)))
);

/** Returns the lines of all processes that name a request. */
export const requestLinesOf = (processes: readonly ProcessRecord[], id: string) => (
  processes.flatMap((record) => linesOf(record, (line) => (
    line.includes(`"${id}"`) && !line.includes(TRACE_NAME)
  )))
);

/** Returns the process that ran at a time, or the last one before. */
export const processAt = (processes: readonly ProcessRecord[], time: number) => (
  processes.findLast(({ startedAt }) => startedAt <= time)
);
