import { appendFileSync, writeFileSync } from 'node:fs';
import process from 'node:process';

/** Writes what was sent, answered and run to the record of a case. */
export interface CaseRecord {
  readonly write: (event: string, fields?: Readonly<Record<string, unknown>>) => void;
}

/**
 * Exit status of the program of a case. Node.js ends with 1 by itself, so a broken rule has another
 * status; `run_case.sh` maps it to 1 and all others but 0 to 2.
 */
export const CaseResult = { held: 0, broken: 10, notRun: 2 } as const;

/**
 * Opens the record of a case, which replaces that of an earlier run.
 *
 * @param path File to write.
 * @returns The record.
 */
export const openRecord = (path: string): CaseRecord => {
  const startedAt = performance.now();
  writeFileSync(path, '');
  return {
    write: (event, fields = {}) => {
      const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
      const format = (value: unknown) => (
        typeof value === 'string' ? value : JSON.stringify(value)
      );
      const text = Object.entries(fields)
        .map(([name, value]) => ` ${name}=${format(value)}`)
        .join('');
      appendFileSync(path, `${seconds} ${event}${text}\n`);
    },
  };
};

/** Longest time in ms that a case may take. */
const CASE_LIMIT_MS = 100_000;

/**
 * Runs a case and ends this process with its result.
 *
 * @param name Name of the case, for the summary line.
 * @param run Runs the case; it resolves to the number of violations.
 */
export const runCase = (
  name: string,
  run: (record: CaseRecord, isTroubled: boolean, stopLater: (stop: () => void) => void) => (
    Promise<number>
  ),
): void => {
  const [path = 'record.txt'] = process.argv.slice(2);
  const record = openRecord(path);
  const isTroubled = process.env.TROUBLE !== '0';
  const stops: (() => void)[] = [];
  let isFinished = false;
  const finish = (status: number, text: string) => {
    isFinished = true;
    for (const stop of stops.reverse()) {
      try {
        stop();
      } catch (error) {
        record.write('failed to stop a part', { reason: String(error) });
      }
    }
    record.write('result', { text, status });
    process.stdout.write(`${name}${isTroubled ? '' : ' (without the disruption)'}: ${text}\n`);
    process.exit(status);
  };
  setTimeout(() => finish(CaseResult.notRun, 'the case took too long'), CASE_LIMIT_MS);
  process.on('exit', () => {
    if (!isFinished) process.exitCode = CaseResult.notRun;
  });
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, (error) => finish(CaseResult.notRun, `could not run: ${String(error)}`));
  }
  process.on('SIGTERM', () => finish(CaseResult.notRun, 'the case was ended'));
  process.on('SIGINT', () => finish(CaseResult.notRun, 'the case was ended'));
  run(record, isTroubled, (stop) => stops.push(stop)).then(
    (violations) => (violations > 0
      ? finish(CaseResult.broken, `rule broken, ${violations} violations`)
      : finish(CaseResult.held, 'rule held')),
    (error: unknown) => finish(CaseResult.notRun, `could not run: ${String(error)}`),
  );
};
