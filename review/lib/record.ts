import { appendFileSync, writeFileSync } from 'node:fs';
import process from 'node:process';

/** Writes what was sent, answered and run to the record of a case. */
export interface CaseRecord {
  readonly write: (event: string, fields?: Readonly<Record<string, unknown>>) => void;
}

/** Result of a case; the exit status of its script. */
export const CaseResult = { held: 0, broken: 1, notRun: 2 } as const;

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
 * Runs a case and ends this process with its result: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
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
  const finish = (status: number, text: string) => {
    for (const stop of stops.reverse()) stop();
    record.write('result', { text, status });
    process.stdout.write(`${name}${isTroubled ? '' : ' (without the disruption)'}: ${text}\n`);
    process.exit(status);
  };
  setTimeout(() => finish(CaseResult.notRun, 'the case took too long'), CASE_LIMIT_MS).unref();
  process.on('SIGTERM', () => finish(CaseResult.notRun, 'the case was ended'));
  process.on('SIGINT', () => finish(CaseResult.notRun, 'the case was ended'));
  run(record, isTroubled, (stop) => stops.push(stop)).then(
    (violations) => (violations > 0
      ? finish(CaseResult.broken, `rule broken, ${violations} violations`)
      : finish(CaseResult.held, 'rule held')),
    (error: unknown) => finish(CaseResult.notRun, `could not run: ${String(error)}`),
  );
};
