/**
 * The lint rules of the house refuse what they are there to refuse.
 */
import * as path from 'node:path';
import * as test from 'node:test';

import { RuleTester } from 'eslint';

import { houseRules } from './houseRules.js';

RuleTester.describe = test.describe;
RuleTester.it = test.it;

const tester = new RuleTester({ languageOptions: { sourceType: 'module' } });
const at = (file) => path.join('project', 'src', file);
const one = (code, file, messageId) => ({ code, filename: at(file), errors: [{ messageId }] });
const fine = (code, file) => ({ code, filename: at(file) });

tester.run('namespace-imports', houseRules.rules['namespace-imports'], {
  valid: [fine("import * as a from './a.js';", 'state/common/x.js')],
  invalid: [
    one("import { a } from './a.js';", 'state/common/x.js', 'namespace'),
    one("import a from './a.js';", 'state/common/x.js', 'namespace'),
    one("import a, * as b from './a.js';", 'state/common/x.js', 'namespace'),
  ],
});

tester.run('layer-order', houseRules.rules['layer-order'], {
  valid: [
    fine("import * as a from '../../state/common/a.js';", 'coordination/node/x.js'),
    fine("import * as a from '../common/a.js';", 'coordination/node/x.js'),
    fine("import * as fs from 'node:fs';", 'base/node/x.js'),
    fine("import * as Schema from 'effect/Schema';", 'state/common/x.js'),
  ],
  invalid: [
    one("import * as a from '../../transport/node/a.js';", 'protocol/node/x.js', 'up'),
    one("import * as a from '../../coordination/common/a.js';", 'state/common/x.js', 'up'),
    one("import * as fs from 'node:fs';", 'state/common/x.js', 'io'),
    one("import * as http from 'node:http';", 'coordination/common/x.js', 'io'),
    one("import * as trpc from '@trpc/server';", 'protocol/common/x.js', 'io'),
    one("import * as a from '../node/a.js';", 'coordination/common/x.js', 'io'),
  ],
});

tester.run('doc-on-exports', houseRules.rules['doc-on-exports'], {
  valid: [fine('/** Says what. */\nexport const a = 1;', 'state/common/x.js')],
  invalid: [
    one('export const a = 1;', 'state/common/x.js', 'doc'),
    one('// not a doc comment\nexport const a = 1;', 'state/common/x.js', 'doc'),
  ],
});

tester.run('doc-on-module', houseRules.rules['doc-on-module'], {
  valid: [fine('/** A module. */\nconst a = 1;', 'state/common/x.js')],
  invalid: [one('const a = 1;', 'state/common/x.js', 'doc')],
});
