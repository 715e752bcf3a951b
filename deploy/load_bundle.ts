import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Script } from 'node:vm';

/** A loaded bundle. */
export interface Bundle {
  readonly isCacheUsed: boolean;
  /** Evaluates the bundle; each call has modules of its own. */
  readonly run: (require: NodeJS.Require) => void;
  /** Returns a code cache with all functions that have been compiled. */
  readonly createCodeCache: () => Buffer;
}

/** Name of the code cache in the directory of the bundle. */
export const CODE_CACHE = 'node.cache';
const BUNDLE = 'node.js';

const readIfPresent = (path: string) => {
  try {
    return readFileSync(path);
  } catch {
    return undefined;
  }
};

/**
 * Loads the bundle of a node with its code cache. V8 rejects a cache that was made by another
 * version or with other flags; the bundle is then compiled as without a cache.
 *
 * @param directory Directory of the bundle.
 * @returns The bundle, not yet evaluated.
 *
 * @example
 * loadBundle(__dirname).run(require);
 */
export const loadBundle = (directory: string): Bundle => {
  const filename = join(directory, BUNDLE);
  const cachedData = readIfPresent(join(directory, CODE_CACHE));
  // The bundle is in ASCII; as Latin-1, its source takes one byte a character.
  const source = readFileSync(filename, 'latin1');
  const script = new Script(source, { filename, ...(cachedData && { cachedData }) });
  return {
    isCacheUsed: script.cachedDataRejected === false,
    run: (require) => {
      const module = { exports: {} };
      script.runInThisContext()(module.exports, require, module, filename, directory);
    },
    createCodeCache: () => script.createCachedData(),
  };
};
