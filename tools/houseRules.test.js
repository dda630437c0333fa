/**
 * The project's lint rules report violations and accept valid code.
 */
import * as path from 'node:path';
import * as test from 'node:test';

import { RuleTester } from 'eslint';

import { houseRules } from './houseRules.js';

RuleTester.describe = test.describe;
RuleTester.it = test.it;

const tester = new RuleTester({ languageOptions: { sourceType: 'module' } });
const sourcePath = (file) => path.join('project', 'src', file);
const invalidCase = (code, file, messageId) => ({
  code,
  filename: sourcePath(file),
  errors: [{ messageId }],
});
const validCase = (code, file) => ({ code, filename: sourcePath(file) });

tester.run('namespace-imports', houseRules.rules['namespace-imports'], {
  valid: [validCase("import * as a from './a.js';", 'state/common/x.js')],
  invalid: [
    invalidCase("import { a } from './a.js';", 'state/common/x.js', 'namespace'),
    invalidCase("import a from './a.js';", 'state/common/x.js', 'namespace'),
    invalidCase("import a, * as b from './a.js';", 'state/common/x.js', 'namespace'),
  ],
});

tester.run('layer-order', houseRules.rules['layer-order'], {
  valid: [
    validCase("import * as a from '../../state/common/a.js';", 'coordination/node/x.js'),
    validCase("import * as a from '../common/a.js';", 'coordination/node/x.js'),
    validCase("import * as fs from 'node:fs';", 'base/node/x.js'),
    validCase("import * as Schema from 'effect/Schema';", 'state/common/x.js'),
  ],
  invalid: [
    invalidCase("import * as a from '../../transport/node/a.js';", 'protocol/node/x.js', 'up'),
    invalidCase("import * as a from '../../coordination/common/a.js';", 'state/common/x.js', 'up'),
    invalidCase("import * as fs from 'node:fs';", 'state/common/x.js', 'io'),
    invalidCase("import * as http from 'node:http';", 'coordination/common/x.js', 'io'),
    invalidCase("import * as trpc from '@trpc/server';", 'protocol/common/x.js', 'io'),
    invalidCase("import * as a from '../node/a.js';", 'coordination/common/x.js', 'io'),
  ],
});

tester.run('doc-on-exports', houseRules.rules['doc-on-exports'], {
  valid: [validCase('/** Says what. */\nexport const a = 1;', 'state/common/x.js')],
  invalid: [
    invalidCase('export const a = 1;', 'state/common/x.js', 'doc'),
    invalidCase('// not a doc comment\nexport const a = 1;', 'state/common/x.js', 'doc'),
  ],
});

tester.run('doc-on-module', houseRules.rules['doc-on-module'], {
  valid: [validCase('/** A module. */\nconst a = 1;', 'state/common/x.js')],
  invalid: [invalidCase('const a = 1;', 'state/common/x.js', 'doc')],
});
