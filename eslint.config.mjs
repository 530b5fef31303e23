/**
 * Airbnb's rules, with what the brief of the users puts above them. Each rule that is switched off
 * or narrowed says why; see docs/contributing/style.md.
 */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';

const ROOT = path.dirname(fileURLToPath(import.meta.url));

/** First words a function may begin with. */
const VERBS = [
  ...readFileSync(path.join(ROOT, 'docs/contributing/VERBS.md'), 'utf8').matchAll(/^- `(\w+)`/gm),
].map((match) => match[1]);
const VERB_PATTERN = `^(${VERBS.join('|')})([A-Z0-9].*)?$`;

/** Prettier owns the layout, set to the same guide; two tools for one line would disagree. */
const layoutRulesOff = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [
    `@stylistic/${name}`,
    'off',
  ]),
);

/** Generators and loops over them are the control flow the brief asks for. */
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
    // Scripts and the command line run once and alone; the daemon's reads of files are at its start.
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
      // One task for each connection is written straight down, so that it reads in order.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // Named exports and namespace imports are the brief's rule.
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      // A state object that a function is named to update is its job; bindings stay untouched.
      'no-param-reassign': ['error', { props: false }],
      // Small modules and short functions.
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 130, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 12],
      // Factories hold their functions; the factory itself is not one long function.
      'max-classes-per-file': 'off',
      // Hoisted helpers below the public function let a file be read from the top.
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
      // Test tools are dependencies of the workspace, not of each package.
      'import-x/no-extraneous-dependencies': 'off',
      // The runner's describe and it are stable enough in Node.js 20 for tests.
      'n/no-unsupported-features/node-builtins': 'off',
      // Test bodies are stories; a suite is one function by the shape of the runner.
      'max-lines-per-function': 'off',
      'no-console': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    // A daemon ends its process itself once it has drained: idle connections would keep it. A soak that
    // is stopped ends at once, and its routers with it.
    files: ['platform/src/main.ts', 'soak/src/main.ts'],
    rules: { 'n/no-process-exit': 'off' },
  },
  {
    files: ['**/*.mjs', '**/bin/*.js'],
    rules: {
      'no-console': 'off',
      'n/no-process-exit': 'off',
      // Tools of the build are dependencies of the workspace alone.
      'import-x/no-extraneous-dependencies': 'off',
      // Scripts load what the build made of each package.
      'import-x/no-dynamic-require': 'off',
    },
  },
  {
    // The commands load what the build made, which is not there when a fresh clone is linted.
    files: ['**/bin/*.js'],
    rules: { 'import-x/no-unresolved': 'off', 'import-x/extensions': 'off' },
  },
];
