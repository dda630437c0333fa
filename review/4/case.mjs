/** A minion is lost for good together with its agent's process; the agent is back at once, the minion is not. */
import * as path from 'node:path';
import * as url from 'node:url';

import * as main from '../lib-2/main.mjs';
import * as sites from '../lib-2/site.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const SIDES = 11;
const TENANTS = [{ name: 'festivals', api_keys: ['key-festivals'], guaranteed: { gpu: 16 } }];
const JOBS = 4;
const LATER_JOBS = 6;
const WORK_MS = 8000;
const SETTLE_MS = 2000;
const GAP_MS = 1500;

const play = async (site) => {
  const targets = [];
  const handIn = async (index) => {
    const target = `/placement/${sites.newJobId()}`;
    const body = {
      spec: JSON.stringify({ ms: WORK_MS }),
      steps: [{ count: 1, cpu: 5600, mem_mb: 23_000, gpu: 1, est_ms: WORK_MS }],
    };
    const answer = await site.callUntilSettled('POST', target, { body, edge: index % 3 });
    if (answer.status === 200) targets.push(target);
  };
  for (let index = 0; index < JOBS; index += 1) await handIn(index);
  await sites.sleep(SETTLE_MS);
  const [run] = site.runs;
  const machine = site.sideMachines.find(({ minion }) => minion.id === run?.minion);
  if (machine === undefined) return undefined;
  if (main.HAS_TROUBLE) {
    site.loseMinion(machine);
    machine.processes.forEach((it) => it.kill());
  }
  for (let index = 0; index < LATER_JOBS; index += 1) {
    await sites.sleep(GAP_MS);
    await handIn(index);
  }
  return site.findIdleWaiting(targets);
};

await main.runCase(FOLDER, { sides: SIDES, tenants: TENANTS }, play);
