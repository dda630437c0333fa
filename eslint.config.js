/**
 * Airbnb's rules with the departures that CONTRIBUTING.md explains. Formatting is prettier's alone,
 * so the stylistic rules are left out.
 */
import * as airbnb from 'eslint-config-airbnb-extended';

import { houseRules } from './tools/houseRules.js';

const { plugins, rules } = airbnb;

export default [
  { ignores: ['dist/**', 'node_modules/**', 'tools/**', 'eslint.config.js'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  rules.base.bestPractices,
  rules.base.errors,
  rules.base.es6,
  rules.base.style,
  rules.base.variables,
  rules.typescript.base,
  rules.typescript.typescriptEslint,
  {
    files: ['src/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { house: houseRules },
    rules: {
      'house/namespace-imports': 'error',
      'house/doc-on-exports': 'error',
      'house/doc-on-module': 'error',
      'house/layer-order': 'error',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object with `as const`.' },
        { selector: 'ForInStatement', message: 'Use Object.keys, values or entries.' },
        { selector: 'LabeledStatement', message: 'Labels make the flow hard to follow.' },
        { selector: 'WithStatement', message: '`with` is not allowed.' },
      ],
      'no-underscore-dangle': ['error', { allow: ['_tag'] }],
      '@typescript-eslint/only-throw-error': [
        'error',
        { allow: ['AuburnliftError', 'StoreOutcomeUnknown'] },
      ],
      '@typescript-eslint/no-unnecessary-type-arguments': 'off',
      'no-param-reassign': ['error', { props: false }],
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'max-classes-per-file': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: false, variables: false },
      ],
      '@typescript-eslint/naming-convention': 'off',
    },
  },
];
