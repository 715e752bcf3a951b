import { loadBundle } from './load_bundle.ts';

const WARNING_LEVEL = 40;

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
