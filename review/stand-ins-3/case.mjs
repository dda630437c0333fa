/** What the scripts have in common: the deployment, the verdict and the exit status. */
import { createJobs } from './jobs.mjs';
import { createRecord } from './record.mjs';
import { startSite } from './site.mjs';

export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** RULES.md and SYSTEM.md: `finish_s`, and how long a job may have nothing running. */
export const FINISH_MS = 14_000;
export const WINDOW_MS = 3000;

export const isTrouble = process.env.TROUBLE !== '0';

export const PLAN_QUEUE = {
  name: 'placement-plan',
  host: 'nony24.example',
  prefix: '/plan/',
  backend: 'booking',
  prio: 1,
  attempts: 3,
  stretch: 3,
  slo_ms: 1200,
  timeout_ms: 3000,
};

/** The part of the deployment's larger kind of resource that is in use, by what runs. */
export const usedShare = (site, jobs) => {
  const total = { cpu: 0, gpu: 0 };
  const used = { cpu: 0, gpu: 0 };
  for (const { minion } of site.sides.filter((it) => it.minion.isUp())) {
    total.cpu += minion.capacity.cpu;
    total.gpu += minion.capacity.gpu;
    for (const run of minion.live()) {
      const step = jobs.stepOf(run.task);
      used.cpu += step?.cpu ?? 0;
      used.gpu += step?.gpu ?? 0;
    }
  }
  return Math.max(used.cpu / total.cpu, used.gpu / total.gpu);
};

/**
 * Starts a deployment of 3 `edge` and 11 `side` machines, plays the case and exits with its verdict.
 *
 * @param folder - folder of the case, for `record.txt`
 * @param play - given the site, the jobs and the record; returns one of the exit statuses
 * @param options - more options of the site
 */
export const playCase = async (folder, play, options = {}) => {
  const record = createRecord(folder);
  const jobs = createJobs(record);
  let site;
  let status = COULD_NOT_RUN;
  try {
    site = await startSite({
      record,
      edges: 3,
      sides: 11,
      workOf: jobs.workOf,
      queues: [PLAN_QUEUE],
      tenants: [{ name: 'tenant-1', api_keys: ['key-1'], guaranteed: { gpu: 24 } }],
      ...options,
    });
    if (await site.waitUntilUp()) status = await play({ site, jobs, record });
  } catch (error) {
    record.write('error', { message: error.stack });
  }
  await site?.close();
  record.write('exit', { status });
  process.exit(status);
};

/** The live runs whose task names begin so. */
export const liveRuns = (site, prefix) =>
  site.sides.flatMap((it) => it.minion.live()).filter((it) => it.task.startsWith(prefix));
