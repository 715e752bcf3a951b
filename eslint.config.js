import { configs, plugins } from 'eslint-config-airbnb-extended';

const restrictedSyntax = ['ForInStatement', 'LabeledStatement', 'WithStatement'];

export default [
  { ignores: ['node_modules/', 'proto/generated/', 'target/', 'journal/'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // The project uses `for...of` loops with early exits.
      'no-restricted-syntax': ['error', ...restrictedSyntax],
      'no-continue': 'off',
      // Loops that await are sequential by design: one task per connection and per peer.
      'no-await-in-loop': 'off',
      // The project uses named exports only.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': ['error', 'always', { ignorePackages: true, checkTypeImports: true }],
      'import-x/no-cycle': ['error', { maxDepth: Infinity }],
      // Accessors of neverthrow that tests use.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      // Related error classes share a file.
      'max-classes-per-file': 'off',
      'max-lines': ['error', { max: 300, skipBlankLines: false, skipComments: false }],
    },
  },
  {
    files: ['bin/*.js'],
    languageOptions: { globals: { process: 'readonly' } },
  },
  {
    files: [
      '**/*_test.ts',
      'testing/**',
      'bench/**',
      'standins/**',
      'command/**',
      'eslint.config.js',
      'deploy/**',
    ],
    rules: {
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
