import { build } from 'esbuild';

// A single file loads faster than many modules. The external packages are optional dependencies
// of bunyan.
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
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
  logLevel: 'warning',
});
