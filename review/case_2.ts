import { writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { createDeployment, type Deployment } from './deployment_2.ts';

/** What a script saw, with the time in ms since its start. */
export interface Recorder {
  readonly note: (text: string) => void;
  readonly now: () => number;
  /** Writes `record.txt` into the folder of the case. */
  readonly save: () => void;
}

/** What a case gets. */
export interface CaseContext {
  readonly deployment: Deployment;
  readonly recorder: Recorder;
  /** False if the same is to be done without the disruption. */
  readonly hasTrouble: boolean;
}

const LIMIT_MS = 110_000;
const STATUS_HELD = 0;
const STATUS_BROKEN = 1;
const STATUS_NOT_RUN = 2;

const createRecorder = (folder: string): Recorder => {
  const startedAt = performance.now();
  const lines: string[] = [];
  const now = () => performance.now() - startedAt;
  return {
    now,
    note: (text) => {
      lines.push(`${(now() / 1000).toFixed(3).padStart(8)} s  ${text}`);
    },
    save: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
};

/**
 * Runs a case in the root of the repository. The process ends with 1 if the rule was broken, 0 if
 * it held, and 2 if the case could not run.
 *
 * @param name Name of the case's folder.
 * @param run Resolves to true if the rule was broken.
 */
export const runCase = (name: string, run: (context: CaseContext) => Promise<boolean>): void => {
  const recorder = createRecorder(resolve('review', name));
  const deployment = createDeployment(recorder.note);
  const finish = (status: number) => {
    deployment.close();
    recorder.save();
    process.exit(status);
  };
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => finish(STATUS_NOT_RUN));
  }
  setTimeout(() => {
    recorder.note('the case took too long');
    finish(STATUS_NOT_RUN);
  }, LIMIT_MS).unref();
  run({ deployment, recorder, hasTrouble: process.env.TROUBLE !== '0' }).then((isBroken) => {
    recorder.note(isBroken ? 'result: the rule was broken' : 'result: the rule held');
    finish(isBroken ? STATUS_BROKEN : STATUS_HELD);
  }, (error: unknown) => {
    recorder.note(`result: the case could not run: ${String(error)}`);
    finish(STATUS_NOT_RUN);
  });
};
