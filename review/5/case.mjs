/** One accepted job of many small tasks, then ordinary jobs of all queues. */
import * as path from 'node:path';
import * as url from 'node:url';

import * as main from '../lib-2/main.mjs';
import * as sites from '../lib-2/site.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const SIDES = 6;
const TENANTS = [
  { name: 'festivals', api_keys: ['key-festivals'], guaranteed: { gpu: 16 } },
  { name: 'weddings', api_keys: ['key-weddings'], guaranteed: { gpu: 8 } },
];
const MANY_TASKS = 12_000;
const JOBS = 9;
const GAP_MS = 1000;
const WORK_MS = 3000;
const QUEUES = ['/pump/', '/placement/', '/crew/'];

const jobOf = (step) => ({
  spec: JSON.stringify({ ms: WORK_MS }),
  steps: [{ est_ms: WORK_MS, ...step }],
});

const play = async (site) => {
  if (main.HAS_TROUBLE) {
    // 60 cores in all: one minion has room for all of it.
    const body = jobOf({ count: MANY_TASKS, cpu: 5, mem_mb: 1 });
    const target = `/crew/${sites.newJobId()}`;
    const answer = await site.callUntilSettled('POST', target, { body, key: 'key-weddings' });
    site.record(`the job of ${MANY_TASKS} tasks is answered ${answer.status}`);
  }
  const jobs = [];
  for (let index = 0; index < JOBS; index += 1) {
    const target = `${QUEUES[index % QUEUES.length]}${sites.newJobId()}`;
    const body = jobOf({ count: 1, cpu: 7500, mem_mb: 39_000, gpu: 1 });
    const answer = await site.callUntilSettled('POST', target, { body, edge: index % 3 });
    if (answer.status === 200) jobs.push(target);
    await sites.sleep(GAP_MS);
  }
  return site.findIdleWaiting(jobs);
};

await main.runCase(FOLDER, { sides: SIDES, tenants: TENANTS }, play);
