/**
 * The commands against a fake entry: requests, output and exit codes.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../base/common/errors.js';
import * as http from '../../base/common/http.js';
import type * as commandDefinition from '../commandDefinition.js';
import * as commands from '../commands.js';
import * as operatorClient from '../operatorClient.js';

import * as cliFixtures from './cliFixtures.js';

const { TOKEN } = cliFixtures;

interface Trial {
  readonly name: string;
  readonly command: string;
  readonly args?: readonly string[];
  readonly flags?: Readonly<Record<string, unknown>>;
  readonly files?: Readonly<Record<string, string>>;
  readonly answers: cliFixtures.Answers;
  /** Expected requests, in order. */
  readonly sent: readonly string[];
  /** Texts that the output must contain. */
  readonly shows: readonly string[];
  readonly exitCode?: number;
}

const TRIALS: readonly Trial[] = [
  {
    name: 'config get prints only the document',
    command: 'config:get',
    answers: { 'GET /api/config': { record: cliFixtures.RECORD } },
    sent: ['GET /api/config'],
    shows: ['"customers": ['],
  },
  {
    name: 'config get --version reads the history',
    command: 'config:get',
    flags: { version: 3 },
    answers: { 'GET /api/config/history/3': { record: cliFixtures.RECORD } },
    sent: ['GET /api/config/history/3'],
    shows: ['"customers": ['],
  },
  {
    name: 'config check writes nothing and shows the effects',
    command: 'config:check',
    args: ['new.jsonc'],
    files: { 'new.jsonc': cliFixtures.documentText({ crossRegionPriceMs: 77 }) },
    answers: {
      'GET /api/config': { record: cliFixtures.RECORD },
      'PUT /api/config?dryRun=true': { effects: [{ level: 'strands', text: 'job a loses b' }] },
    },
    sent: ['GET /api/config', 'PUT /api/config?dryRun=true'],
    shows: ['routing.crossRegionPriceMs', '77', 'strands: job a loses b', 'nothing was written'],
  },
  {
    name: 'config diff lists each changed path',
    command: 'config:diff',
    args: ['new.jsonc'],
    files: { 'new.jsonc': cliFixtures.documentText({ crossRegionPriceMs: 77 }) },
    answers: { 'GET /api/config': { record: cliFixtures.RECORD } },
    sent: ['GET /api/config'],
    shows: ['routing.crossRegionPriceMs  50      77'],
  },
  {
    name: 'config apply sends the version that the change is based on',
    command: 'config:apply',
    args: ['new.jsonc'],
    flags: { reason: 'r', 'base-version': 5 },
    files: { 'new.jsonc': cliFixtures.documentText({ crossRegionPriceMs: 77 }) },
    answers: {
      'GET /api/config': { record: cliFixtures.RECORD },
      'GET /api/config/history/5': { record: { ...cliFixtures.RECORD, version: 5 } },
      'PUT /api/config': (body: unknown) => {
        assert.equal((body as { baseVersion: number }).baseVersion, 5);
        return { record: { ...cliFixtures.RECORD, version: 8 } };
      },
    },
    sent: ['GET /api/config', 'GET /api/config/history/5', 'PUT /api/config'],
    shows: ['wrote version 8'],
  },
  {
    name: 'config apply writes no version without changes',
    command: 'config:apply',
    args: ['new.jsonc'],
    flags: { reason: 'r' },
    files: { 'new.jsonc': cliFixtures.documentText({}) },
    answers: { 'GET /api/config': { record: cliFixtures.RECORD } },
    sent: ['GET /api/config'],
    shows: ['no differences, nothing was written'],
  },
  {
    name: 'config history',
    command: 'config:history',
    answers: { 'GET /api/config/history': { versions: [cliFixtures.RECORD] } },
    sent: ['GET /api/config/history'],
    shows: ['ada', 'first'],
  },
  {
    name: 'config status names stragglers',
    command: 'config:status',
    answers: {
      'GET /api/config/status': {
        version: 7,
        stragglers: ['agent-2'],
        processes: [{ processId: 'agent-2', role: 'agent', zone: 'z', version: 6 }],
      },
    },
    sent: ['GET /api/config/status'],
    shows: ['agent-2  agent  z           6', 'stragglers: agent-2'],
  },
  {
    name: 'customer add edits the configuration document',
    command: 'customer:add',
    args: ['new', 'name="New one"', 'requestWeight=1', 'guaranteedSlots=0', 'quotaAccelerators=8'],
    flags: { reason: 'contract' },
    answers: {
      'GET /api/config': { record: cliFixtures.RECORD },
      'PUT /api/config': (body: unknown) => {
        const { document } = body as typeof cliFixtures.RECORD;
        assert.deepEqual(
          document.customers.map((it) => it.customerId),
          ['acme', 'new'],
        );
        return { record: { ...cliFixtures.RECORD, version: 8 } };
      },
    },
    sent: ['GET /api/config', 'PUT /api/config'],
    shows: ['customers[new].name', 'wrote version 8'],
  },
  {
    name: 'job list reports the cells that do not respond',
    command: 'job:list',
    flags: { customer: 'acme' },
    answers: {
      'GET /api/jobs': { jobs: [cliFixtures.JOB], unansweredCells: ['zone-b'] },
    },
    sent: ['GET /api/jobs'],
    shows: ['plan-1', 'cell zone-b does not respond'],
  },
  {
    name: 'job cancel finds the cell of the job',
    command: 'job:cancel',
    args: ['plan-1'],
    answers: {
      'GET /api/cells': cliFixtures.CELLS,
      'GET /api/jobs/zone-a/plan-1': { job: cliFixtures.JOB, source: 'leader' },
      'POST /api/jobs/cancel': { jobs: [cliFixtures.JOB] },
    },
    sent: ['GET /api/cells', 'GET /api/jobs/zone-a/plan-1', 'POST /api/jobs/cancel'],
    shows: ['plan-1'],
  },
  {
    name: 'explain shows each decision with its configuration version, and the source of the record',
    command: 'explain',
    args: ['plan-1'],
    flags: { cell: 'zone-a' },
    answers: { 'GET /api/jobs/zone-a/plan-1': { job: cliFixtures.JOB, source: 'archive' } },
    sent: ['GET /api/jobs/zone-a/plan-1'],
    shows: ['spare rule    night', 'placed          7  rule night', 'told by       archive'],
  },
  {
    name: 'explain shows control characters of a payload as question marks',
    command: 'explain',
    args: ['plan-1'],
    flags: { cell: 'zone-a' },
    answers: {
      'GET /api/jobs/zone-a/plan-1': {
        source: 'leader',
        job: {
          ...cliFixtures.JOB,
          decisions: [{ atMs: 0, what: 'failed', why: '\u001b[2Jgone', configVersion: 1 }],
        },
      },
    },
    sent: ['GET /api/jobs/zone-a/plan-1'],
    shows: ['?[2Jgone'],
  },
  {
    name: 'worker quarantine finds the cell of the worker',
    command: 'worker:quarantine',
    args: ['w1'],
    flags: { reason: 'fan' },
    answers: {
      'GET /api/cells': cliFixtures.CELLS,
      'GET /api/cells/zone-a': cliFixtures.CELL_VIEW,
      'POST /api/cells/zone-a/quarantine': cliFixtures.CELL_VIEW,
    },
    sent: ['GET /api/cells', 'GET /api/cells/zone-a', 'POST /api/cells/zone-a/quarantine'],
    shows: ['w1'],
  },
  {
    name: 'upstream drain',
    command: 'upstream:drain',
    args: ['u1'],
    answers: {
      'POST /api/upstreams/u1/drain': (body: unknown) => {
        assert.deepEqual(body, { isDraining: true });
        return { upstream: { upstreamId: 'u1', isLeaving: true } };
      },
    },
    sent: ['POST /api/upstreams/u1/drain'],
    shows: ['u1'],
  },
  {
    name: 'ledger sums by customer',
    command: 'ledger',
    flags: { cell: 'zone-a', customer: 'acme' },
    answers: cliFixtures.ledgerAnswers(cliFixtures.HOUR),
    sent: ['GET /api/ledger/zone-a', 'GET /api/ledger-days/zone-a'],
    shows: ['acme', '1.0000', 'total 1.0000 accelerator-hours'],
  },
  {
    name: 'ledger --csv quotes values and escapes formulas',
    command: 'ledger',
    flags: { cell: 'zone-a', csv: true },
    answers: cliFixtures.ledgerAnswers({
      ...cliFixtures.HOUR,
      entries: [{ ...cliFixtures.ENTRY, jobId: '=1,"2"' }],
    }),
    sent: ['GET /api/ledger/zone-a', 'GET /api/ledger-days/zone-a'],
    shows: [`acme,"'=1,""2""",1,guarantee,,7,3600000`],
  },
  {
    name: 'ledger --check passes for a balanced ledger',
    command: 'ledger',
    flags: { cell: 'zone-a', check: true },
    answers: cliFixtures.ledgerAnswers(cliFixtures.HOUR),
    sent: ['GET /api/ledger/zone-a', 'GET /api/ledger-days/zone-a'],
    shows: ['the books balance: 1 cells, 0 days, 1 hours'],
  },
  {
    name: 'ledger --check fails for an unbalanced ledger',
    command: 'ledger',
    flags: { cell: 'zone-a', check: true },
    answers: cliFixtures.ledgerAnswers({
      ...cliFixtures.HOUR,
      entries: [{ ...cliFixtures.ENTRY, acceleratorMs: 3_599_999 }],
    }),
    sent: ['GET /api/ledger/zone-a', 'GET /api/ledger-days/zone-a'],
    shows: ['imbalance', '-1', 'out of balance'],
    exitCode: 70,
  },
  {
    name: 'burn marks burning objectives',
    command: 'burn',
    answers: { 'GET /api/burn': cliFixtures.BURN },
    sent: ['GET /api/burn'],
    shows: ['5/60 MIN (14.4)', 'BURNING'],
  },
];

const inputOf = (
  trial: Pick<Trial, 'args' | 'flags' | 'files'>,
  call: http.HttpCall,
): commandDefinition.CommandInput => ({
  client: operatorClient.createOperatorClient({
    call,
    url: 'http://127.0.0.1:1',
    token: TOKEN,
    timeoutMs: 1000,
  }),
  args: trial.args ?? [],
  flags: trial.flags ?? {},
  readText: (file) => Promise.resolve(trial.files?.[file] ?? ''),
  eachLine: () => Promise.resolve(),
  writeText: () => undefined,
  newId: () => 'write-1',
  nowMs: cliFixtures.NOW_MS,
});

for (const trial of TRIALS) {
  test.test(trial.name, async () => {
    const entry = cliFixtures.createFakeEntry(trial.answers);
    const definition = commands.DEFINITIONS[trial.command];
    assert.ok(definition);
    const result = await definition.run(inputOf(trial, entry.call));
    assert.deepEqual(entry.sent, trial.sent);
    const text = result.lines.join('\n');
    for (const it of trial.shows) assert.ok(text.includes(it), `${it} is missing in:\n${text}`);
    assert.ok(!(text + JSON.stringify(result.value)).includes(TOKEN));
    assert.equal(result.exitCode ?? 0, trial.exitCode ?? 0);
  });
}

interface Refusal {
  readonly name: string;
  readonly command: string;
  readonly args: readonly string[];
  readonly kind: string;
}

const REFUSALS: readonly Refusal[] = [
  {
    name: 'an invalid field',
    command: 'customer:set',
    args: ['acme', 'requestWeight=-1'],
    kind: 'invalidRequest',
  },
  {
    name: 'an argument without =',
    command: 'customer:set',
    args: ['acme', 'weight'],
    kind: 'invalidRequest',
  },
  {
    name: 'an unknown field',
    command: 'customer:set',
    args: ['acme', 'wieght=1'],
    kind: 'invalidRequest',
  },
  { name: 'an existing id', command: 'customer:add', args: ['acme'], kind: 'conflict' },
  { name: 'an unknown item', command: 'rule:remove', args: ['none'], kind: 'notFound' },
];

for (const { name, command, args, kind } of REFUSALS) {
  test.test(`${command} rejects ${name} before anything is written`, async () => {
    const entry = cliFixtures.createFakeEntry({
      'GET /api/config': { record: cliFixtures.RECORD },
    });
    const run = commands.DEFINITIONS[command]?.run(inputOf({ args }, entry.call));
    await assert.rejects(run ?? Promise.resolve(), (thrown) => {
      assert.equal(errors.normalize(thrown).kind, kind);
      return true;
    });
    assert.deepEqual(entry.sent, ['GET /api/config']);
  });
}

test.test('a change is sent again with the same write id if the response is lost', async () => {
  // The entry wrote the new version and its response is lost. With another write id the second
  // request would be rejected as a conflict with the operator's own change.
  const ids: unknown[] = [];
  const entry = cliFixtures.createFakeEntry({
    'GET /api/config': { record: cliFixtures.RECORD },
    'PUT /api/config': (body: unknown) => {
      ids.push((body as { writeId: string }).writeId);
      if (ids.length === 1) throw new http.HttpCallError('lost', 'reset');
      return { record: { ...cliFixtures.RECORD, version: 8 } };
    },
  });
  const trial = { args: ['acme', 'requestWeight=2'], flags: { reason: 'r' } };
  const result = await commands.DEFINITIONS['customer:set']?.run(inputOf(trial, entry.call));
  assert.deepEqual(ids, ['write-1', 'write-1']);
  assert.ok(result?.lines.includes('wrote version 8'));
});

test.test("a conflict shows the other operator's changes and this operator's", async () => {
  // Two operators edit version 7. One writes a new price, then the other a new weight; the second
  // must see the first one's change before deciding, so that neither change is lost.
  const document = JSON.parse(
    cliFixtures.documentText({ crossRegionPriceMs: 99 }).slice(13),
  ) as object;
  const facts = { current: { ...cliFixtures.RECORD, version: 8, author: 'bob', document } };
  const call: http.HttpCall = ({ method }) =>
    Promise.resolve({
      status: method === 'GET' ? 200 : 409,
      headers: {},
      body: Buffer.from(
        JSON.stringify(
          method === 'GET'
            ? { record: cliFixtures.RECORD }
            : { error: { kind: 'conflict', message: 'version 8 is in force', facts } },
        ),
      ),
    });
  const trial = { args: ['acme', 'requestWeight=2'], flags: { reason: 'r' } };
  const run = commands.DEFINITIONS['customer:set']?.run(inputOf(trial, call));
  await assert.rejects(run ?? Promise.resolve(), (thrown) => {
    const { kind, message } = errors.normalize(thrown);
    assert.equal(kind, 'conflict');
    assert.match(message, /changed by bob since version 7:[^]*crossRegionPriceMs +50 +99/);
    assert.match(message, /your change:[^]*requestWeight +1 +2/);
    return true;
  });
});

test.test('a cancellation whose response is lost fails with an unknown outcome', async () => {
  const call: http.HttpCall = () => Promise.reject(new http.HttpCallError('timeout', 'silent'));
  const trial = { args: ['plan-1'], flags: { cell: 'zone-a' } };
  const run = commands.DEFINITIONS['job:cancel']?.run(inputOf(trial, call));
  await assert.rejects(run ?? Promise.resolve(), (thrown) => {
    assert.equal(errors.normalize(thrown).kind, 'outcomeUnknown');
    return true;
  });
});

test.test('every command has examples that start with its name', () => {
  for (const [name, { summary, examples }] of Object.entries(commands.DEFINITIONS)) {
    assert.ok(summary.endsWith('.'), name);
    assert.ok(examples.length > 0, name);
    for (const it of examples) assert.ok(it.startsWith(name.replace(':', ' ')), `${name}: ${it}`);
  }
});
