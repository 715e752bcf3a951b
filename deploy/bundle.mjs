import { resolve } from 'node:path';
import { build } from 'esbuild';

const ABSENT_MODULE = './deploy/absent_module.cjs';

/** Optional dependencies of bunyan for rotating files, probes and stack traces. */
const alias = {
  'dtrace-provider': ABSENT_MODULE, mv: ABSENT_MODULE, 'source-map-support': ABSENT_MODULE,
};

/** Replaces libraries by the parts of them that a node uses, as loading the others takes time. */
const usedParts = {
  name: 'used parts',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('deploy/undici.cjs') }));
    onResolve({ filter: /^prom-client$/ }, () => ({ path: resolve('deploy/prom_client.cjs') }));
    // undici loads HTTP/2 at its start, which a node does not speak.
    onResolve({ filter: /^node:http2$/ }, () => ({ path: resolve(ABSENT_MODULE) }));
  },
};

/** Parameters are those of a CommonJS module. */
const FUNCTION_START = '(function (exports, require, module, __filename, __dirname) {';

/** Bundles the program of a node into one function expression, which loads faster than modules. */
export const bundleNode = (outfile) => build({
  entryPoints: ['fleet/main.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifyWhitespace: true,
  alias,
  plugins: [usedParts],
  banner: { js: FUNCTION_START },
  footer: { js: '})' },
  logLevel: 'warning',
});

/** Bundles a script of this repository. */
export const bundleScript = (entryPoint, outfile) => build({
  entryPoints: [entryPoint],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias,
  logLevel: 'warning',
});
