/**
 * End-to-end test of the client against a hosted deployment: a job from submission to accelerator-hours.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as oclif from '@oclif/core';

import * as settingsFile from '../../base/node/settingsFile.js';
import * as deployment from '../../dev/deployment.js';
import * as devHost from '../../dev/devHost.js';
import * as configuration from '../../state/common/configuration.js';

const ROOT = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../..');
const EXAMPLE = path.join(ROOT, 'examples/kamarvaki');
const POLL_MS = 100;
const TRIES = 100;

const SPEC = {
  jobId: 'plan-17',
  customerId: 'festivals',
  kind: 'plan',
  cell: 'sudvestur-a',
  claim: 'guaranteed',
  shapeId: 'festival-plan',
  members: 2,
  acceleratorsPerMember: 8,
  adjacency: 'rack',
  declaredRunMs: 1000,
  isCheckpointable: true,
  payload: '{"runMs":300}',
};

/** Output and exit code of one run of the client. */
interface ClientRun {
  readonly out: string;
  readonly error: string;
  readonly exitCode: number;
}

const isExit = (thrown: unknown): thrown is { readonly oclif: { readonly exit: number } } =>
  typeof thrown === 'object' && thrown !== null && 'oclif' in thrown;

/** Runs a command in this process, as the program does, and captures its output. */
const run = async (
  config: oclif.Config,
  id: string,
  args: readonly string[],
): Promise<ClientRun> => {
  const printed = { out: '', error: '' };
  const { write: writeOut } = process.stdout;
  const { write: writeError } = process.stderr;
  process.stdout.write = (text: string | Uint8Array): boolean => {
    printed.out += String(text);
    return true;
  };
  process.stderr.write = (text: string | Uint8Array): boolean => {
    printed.error += String(text);
    return true;
  };
  try {
    await config.runCommand(id, [...args]);
    return { ...printed, exitCode: 0 };
  } catch (thrown) {
    if (!isExit(thrown)) throw thrown;
    return { ...printed, exitCode: thrown.oclif.exit };
  } finally {
    // oclif sets the exit code of the process, which here is that of the test.
    process.exitCode = undefined;
    process.stdout.write = writeOut;
    process.stderr.write = writeError;
  }
};

test.test('the client submits, explains and accounts for a job', async () => {
  const fileOf = (name: string): string => path.join(EXAMPLE, name);
  const machines = settingsFile.readSettings(deployment.Deployment, fileOf('deployment.jsonc'));
  const document = settingsFile.readSettings(
    configuration.ConfigurationDocument,
    fileOf('configuration.jsonc'),
  );
  const host = await devHost.startDevHost({ deployment: machines, document, logLevel: 'error' });
  const config = await oclif.Config.load(ROOT);
  const { operatorsUrl } = host.entries[0]?.program ?? { operatorsUrl: '' };
  const access = ['--url', operatorsUrl, '--token', host.operatorToken];
  const client = (id: string, ...args: readonly string[]): Promise<ClientRun> =>
    run(config, id, [...args, ...access]);
  const until = async (id: string, args: readonly string[], text: string): Promise<ClientRun> => {
    let last = await client(id, ...args);
    for (let turn = 0; turn < TRIES && !last.out.includes(text); turn += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
      last = await client(id, ...args);
    }
    assert.ok(last.out.includes(text), `${id}: ${text} is missing in ${last.out}${last.error}`);
    return last;
  };
  try {
    const file = path.join(ROOT, 'dist', 'wholeClient.job.json');
    fs.writeFileSync(file, JSON.stringify(SPEC));
    await until('job:submit', [file], 'plan-17');
    const explained = await until('explain', ['plan-17'], 'all members finished');
    assert.match(explained.out, /placed +1 +claims shape festival-plan/);
    const rows = await until('ledger', ['--by', 'job', '--customer', 'festivals'], 'plan-17');
    assert.match(rows.out, /plan-17 +guarantee/);
    const checked = await client('ledger', '--check');
    assert.deepEqual([checked.exitCode, checked.error], [0, '']);
    assert.match(checked.out, /the books balance: 3 cells/);
    const burn = JSON.parse((await client('burn', '--json')).out) as { objectives: unknown[] };
    assert.equal(burn.objectives.length, document.objectives.length);
    const nobody = await client('explain', 'nobody', '--json');
    assert.equal(nobody.exitCode, 13);
    assert.match(nobody.error, /"kind":"notFound"/);
    const stranger = await run(config, 'cells', ['--url', operatorsUrl, '--token', 'not-a-token']);
    assert.deepEqual([stranger.exitCode, stranger.out], [11, '']);
    assert.ok(!stranger.error.includes('not-a-token'));
    const nowhere = await run(config, 'cells', ['--token', host.operatorToken]);
    assert.equal(nowhere.exitCode, 10);
  } finally {
    await host.dispose();
  }
});
