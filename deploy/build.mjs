import { build } from 'esbuild';

const ABSENT_MODULE = './deploy/absent_module.cjs';

// A single file loads faster than many modules.
await build({
  entryPoints: ['fleet/main.ts'],
  outfile: 'target/marjoramhollow.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Globals that CommonJS dependencies use and that ES modules lack.
  banner: {
    js: [
      "import { createRequire as createBundleRequire } from 'node:module';",
      "import { fileURLToPath as bundlePath } from 'node:url';",
      'const require = createBundleRequire(import.meta.url);',
      'const __filename = bundlePath(import.meta.url);',
      "const __dirname = __filename.slice(0, __filename.lastIndexOf('/'));",
    ].join('\n'),
  },
  // Optional dependencies of bunyan for rotating files, probes and stack traces, which a node does
  // not use. Loading them from `node_modules` would take a tenth of the time to start.
  alias: {
    'dtrace-provider': ABSENT_MODULE, mv: ABSENT_MODULE, 'source-map-support': ABSENT_MODULE,
  },
  logLevel: 'warning',
});
