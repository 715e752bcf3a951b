import { configs, plugins } from 'eslint-config-airbnb-extended';

const forbiddenSyntax = ['ForInStatement', 'LabeledStatement', 'WithStatement'];

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
      // The house style asks for `for of` loops with early exits.
      'no-restricted-syntax': ['error', ...forbiddenSyntax],
      'no-continue': 'off',
      // Loops that await are sequential on purpose: one task for each connection and peer.
      'no-await-in-loop': 'off',
      // The house style asks for named exports.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': ['error', 'always', { ignorePackages: true, checkTypeImports: true }],
      'import-x/no-cycle': ['error', { maxDepth: Infinity }],
      // Names that neverthrow gives to the accessors used in tests.
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      // The error classes of one family stand in one file.
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
