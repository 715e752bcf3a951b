import { readFileSync } from 'node:fs';
import { setImmediate } from 'node:timers/promises';
import { processSignals } from './_process_signals.ts';
import { createSettingsCheck } from './_settings_check.ts';
import { createSystemClock } from '../clock/mod.ts';
import { createEndOwner } from '../lifecycle/mod.ts';
import { parsePlatformSettings } from '../platform/mod.ts';
import {
  createRateLimitedLogger, createLogger, handleProcessFailures, type Logger, openLogOutput,
} from '../telemetry/mod.ts';
import { type FleetNode, startFleetNode } from './start_fleet_node.ts';

/** Port of the metrics endpoint; must match `deploy/system.toml`. */
const METRICS_PORT = 9464;
/** The settings file is polled as well, since it may change without a SIGHUP. */
const SETTINGS_POLL_INTERVAL_MS = 1000;
const SETTINGS_VARIABLE = 'MARJORAMHOLLOW_CONFIG';
const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;

const readText = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
};

const fail = (status: number, message: string) => {
  process.stderr.write(`marjoramhollow: ${message}\n`);
  process.exitCode = status;
};

const watchSettings = (path: string, first: string, node: FleetNode, logger: Logger) => {
  const check = createSettingsCheck({
    source: path, read: () => readText(path), first, reload: node.reload, logger,
  });
  processSignals.onReload(check);
  setInterval(check, SETTINGS_POLL_INTERVAL_MS).unref();
};

const main = async () => {
  const path = process.env[SETTINGS_VARIABLE] ?? '';
  const text = readText(path);
  if (text === undefined) {
    fail(EXIT_INVALID_SETTINGS, `${SETTINGS_VARIABLE}: cannot read '${path}'`);
    return;
  }
  const settings = parsePlatformSettings(text, path);
  if (settings.isErr()) {
    fail(EXIT_INVALID_SETTINGS, settings.error.message);
    return;
  }
  // Signals are delivered before the second turn of the event loop ends, as the first one may have
  // polled before this module ran; no caller has been accepted before.
  await setImmediate();
  await setImmediate();
  if (processSignals.isStopRequested()) return;
  const clock = createSystemClock();
  const lines = createLogger('node', { node: settings.value.node, stream: openLogOutput(clock) });
  const logger = createRateLimitedLogger(lines, { clock });
  const ends = createEndOwner({
    clock, logger: lines.forComponent('ends'), exit: (status) => process.exit(status),
  });
  // Before the output of the log, which writes its last lines at the exit.
  process.prependOnceListener('exit', ends.recordExit);
  handleProcessFailures(process, logger, () => {
    ends.endProcess({ reason: 'exception', status: EXIT_FAILED });
  });
  // Nothing has been accepted before the node can be stopped, so a signal until then ends at once.
  processSignals.onStop((sinceMs) => ends.endProcess({ reason: 'signal', status: 0, sinceMs }));
  try {
    const node = await startFleetNode(settings.value, {
      clock, logger, ends, metricsPort: METRICS_PORT,
    });
    watchSettings(path, text, node, logger);
  } catch (error) {
    process.stderr.write(`marjoramhollow: ${String(error)}\n`);
    logger.error({ reason: String(error) }, 'failed to start the node');
    ends.endProcess({ reason: 'failed start', status: EXIT_FAILED });
  }
};

main().catch((error: unknown) => fail(EXIT_FAILED, String(error)));
