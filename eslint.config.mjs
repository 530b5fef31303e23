/**
 * Airbnb's rules with the overrides of the project's style guide, docs/contributing/style.md. Comments
 * give the reasons why rules are switched off or narrowed.
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';

const ROOT = path.dirname(fileURLToPath(import.meta.url));

/** Verbs that a function's name may begin with. */
const VERBS = [
  ...readFileSync(path.join(ROOT, 'docs/contributing/VERBS.md'), 'utf8').matchAll(/^- `(\w+)`/gm),
].map((match) => match[1]);
const VERB_PATTERN = `^(${VERBS.join('|')})([A-Z0-9].*)?$`;

/** Prettier formats the code by the same guide, and layout rules of ESLint would conflict with it. */
const layoutRulesOff = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
    `@stylistic/${name}`,
    'off',
  ]),
);

/** Unlike Airbnb's setting, permits `for...of`: generators and loops over them are the project's style. */
const SYNTAX_RULE = ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'];

export default [
  { ignores: ['**/lib/**', 'node_modules/**', '.cache/**', 'docs/**', 'journal/**', 'target/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  { rules: layoutRulesOff },
  {
    // Synchronous calls block nothing here: scripts and the command line serve no requests, and the
    // daemon reads files only while it starts.
    rules: { 'n/no-sync': 'off', 'no-restricted-syntax': SYNTAX_RULE },
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: ROOT },
    },
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: VERB_PATTERN, match: true },
        },
        { selector: 'typeLike', format: ['PascalCase'] },
        {
          selector: 'variable',
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      // A connection's task is one sequential async function, so its steps are awaited in loops.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // The style guide requires named exports and namespace imports.
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      // Functions may update the properties of a state object they are given, but not reassign parameters.
      'no-param-reassign': ['error', { props: false }],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      // Factory functions count with the functions that they contain.
      'max-lines-per-function': ['error', { max: 130, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 12],
      'max-classes-per-file': 'off',
      // Function declarations are hoisted, so helpers may follow the public function that calls them.
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: false },
      ],
    },
  },
  {
    files: [
      '**/__tests__/**/*.ts',
      'bench/**/*.ts',
      'packages/sequoiarill-standins/**/*.ts',
      'packages/sequoiarill-demo/**/*.ts',
    ],
    rules: {
      // Test tools are dependencies of the workspace root, not of each package.
      'import-x/no-extraneous-dependencies': 'off',
      // Node.js 20 marks parts of node:test as experimental; tests may use them.
      'n/no-unsupported-features/node-builtins': 'off',
      // Each suite is one callback of `describe`, and a scenario's steps belong in one test body.
      'max-lines-per-function': 'off',
      'no-console': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    // The daemon calls process.exit once it has drained, since idle connections would keep the process
    // alive. The soak exits at once on a signal, which also ends its routers.
    files: ['platform/src/main.ts', 'soak/src/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/*.mjs', '**/bin/*.js'],
    rules: {
      'no-console': 'off',
      'n/no-process-exit': 'off',
      // Build tools are dependencies of the workspace root.
      'import-x/no-extraneous-dependencies': 'off',
      // Scripts load the compiled output of the packages by computed paths.
      'import-x/no-dynamic-require': 'off',
    },
  },
  {
    // The commands load compiled output, which a fresh clone lacks when it is linted.
    files: ['**/bin/*.js'],
    rules: { 'import-x/no-unresolved': 'off', 'import-x/extensions': 'off' },
  },
];
