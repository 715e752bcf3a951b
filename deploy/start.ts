import { loadBundle } from './load_bundle.ts';

const WARNING_LEVEL = 40;
/** Signals that the node handles, whose default action would end the process. */
const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

// A signal that comes while the bundle is loaded is delivered in the first turn of the event loop,
// in which the node has its own handlers.
for (const signal of HANDLED_SIGNALS) process.on(signal, () => undefined);
const bundle = loadBundle(__dirname);
bundle.run(require);
if (!bundle.isCacheUsed) {
  process.stderr.write(`${JSON.stringify({
    name: 'marjoramhollow',
    level: WARNING_LEVEL,
    msg: 'start: compiled the bundle, as its code cache is missing or was rejected',
    time: new Date().toISOString(),
    v: 0,
  })}\n`);
}
