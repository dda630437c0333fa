/**
 * The files under `examples/` match their schemas, so that the README's commands work.
 */
import * as assert from 'node:assert/strict';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as settingsFile from '../../base/node/settingsFile.js';
import * as settings from '../../state/common/settings.js';
import * as examples from '../examples.js';

const SETTINGS = path.join(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../../examples/kamarvaki/settings',
);

test.test('every example has as many workers in its cells as VMs in its zones', () => {
  for (const name of examples.EXAMPLE_NAMES) {
    const { deployment, document } = examples.readExample(name);
    assert.deepEqual(
      document.cells.map((it) => [it.cell, it.workers, it.workersPerRack]),
      deployment.zones.map((it) => [it.zone, it.vms, deployment.workersPerRack]),
      name,
    );
  }
});

test.test('the settings of separate programs match each other', () => {
  const join = (file: string): string => path.join(SETTINGS, file);
  const entry = settingsFile.readSettings(settings.EntrySettings, join('entry.jsonc'));
  const scheduler = settingsFile.readSettings(settings.SchedulerSettings, join('scheduler.jsonc'));
  const agent = settingsFile.readSettings(settings.AgentSettings, join('agent.jsonc'));
  assert.equal(entry.storeUrl, scheduler.storeUrl);
  assert.equal(entry.peerSecret, agent.peerSecret);
  assert.deepEqual(agent.entryUrls, [`http://127.0.0.1:${entry.peers.port}`]);
});
