/** One heartbeat of another writer reaches an agent while its minion runs tasks. */
import * as path from 'node:path';
import * as url from 'node:url';

import * as main from '../lib-2/main.mjs';
import * as sites from '../lib-2/site.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const SIDES = 6;
const TENANTS = [{ name: 'festivals', api_keys: ['key-festivals'], guaranteed: { gpu: 16 } }];
const JOBS = 4;
const WORK_MS = 12_000;
const SETTLE_MS = 2000;
const WATCHED_MS = 25_000;

/** A heartbeat that names a service which neither the configuration nor a settings file of the site names. */
const sendForeignHeartbeat = async ({ ip }) => {
  const body = {
    backend: 'inventory',
    addr: `${ip}:9000`,
    zone: sites.ZONES[0],
    version: 'v7',
    slots: 8,
    state: 'ready',
    cold_left_ms: 0,
    capacity: { cpu: 8000, mem_mb: 16_384, gpu: 0 },
    labels: ['x', 'r9'],
    clock_ms: 1000,
    born: Date.now(),
    seq: 1,
  };
  const target = `http://${ip}:${sites.PORTS.control}/-/Instances.Heartbeat/i-inventory-1`;
  const answer = await fetch(target, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  return answer.status;
};

const play = async (site) => {
  const targets = Array.from({ length: JOBS }, () => `/placement/${sites.newJobId()}`);
  for (const [index, target] of targets.entries()) {
    const body = {
      spec: JSON.stringify({ ms: WORK_MS }),
      steps: [{ count: 1, cpu: 26_000, mem_mb: 110_000, gpu: 2, est_ms: WORK_MS }],
    };
    const answer = await site.callUntilSettled('POST', target, { body, edge: index % 3 });
    if (answer.status !== 200) return undefined;
  }
  await sites.sleep(SETTLE_MS);
  const [run] = site.runs;
  if (site.runs.length !== JOBS) return undefined;
  const machine = site.sideMachines.find(({ minion }) => minion.id === run.minion);
  if (main.HAS_TROUBLE) {
    const status = await sendForeignHeartbeat(machine);
    site.record(`another writer's heartbeat to the agent of ${run.minion}: ${status}`);
  }
  await sites.sleep(WATCHED_MS);
  for (const target of targets) await site.callUntilSettled('GET', target);
  return sites.findDoubleRuns(site.runs).map((it) => `TWICE ${it}`);
};

await main.runCase(FOLDER, { sides: SIDES, tenants: TENANTS }, play);
