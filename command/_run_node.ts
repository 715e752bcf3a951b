import { createSystemClock } from '../clock/mod.ts';
import { type Settings, startNode } from '../daemon/mod.ts';
import { exitStatuses } from './_output.ts';

const waitForStopSignal = () => new Promise<void>((resolve) => {
  process.once('SIGTERM', () => resolve());
  process.once('SIGINT', () => resolve());
});

/** Runs a node until SIGTERM or SIGINT, then drains and stops it. */
export const runNode = async (settings: Settings): Promise<number> => {
  const node = await startNode(settings, { clock: createSystemClock() });
  await waitForStopSignal();
  await node.stop();
  return exitStatuses.ok;
};
