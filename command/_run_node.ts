import process from 'node:process';
import { createSystemClock } from '../clock/mod.ts';
import { type Settings, startNode } from '../daemon/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { createLogger, handleProcessFailures } from '../telemetry/mod.ts';
import { exitStatuses } from './_output.ts';

/**
 * Runs a node until a signal to stop or an exception, then drains and stops it. Further signals
 * join the first one, whose default action would end the process with requests in flight.
 */
export const runNode = (settings: Settings): Promise<number> => new Promise((resolve, reject) => {
  const clock = createSystemClock();
  const logger = createLogger('node', { level: settings.log.level, node: settings.node });
  const ends = createEndOwner({ clock, logger: logger.forComponent('ends'), exit: resolve });
  const started = startNode(settings, { clock, ends });
  ends.setStop((request) => started.then((node) => node.stop(request)));
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    process.on(signal, () => ends.endProcess({ reason: 'signal', status: exitStatuses.ok }));
  }
  handleProcessFailures(process, logger, () => {
    ends.endProcess({ reason: 'exception', status: exitStatuses.failed });
  });
  started.catch(reject);
});
