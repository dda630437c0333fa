/**
 * Processor time of a whole pool, leader, agents and stand-ins, while one large job or many small ones start and end, in
 * virtual time. Each size shows how the time of a task grows with the tasks beside it.
 */
import * as fixtures from '../coordination/common/pool/test/poolFixtures.js';
import * as poolHarness from '../standins/test/poolHarness.js';
import type * as poolJob from '../state/common/pool/poolJob.js';

/** Tasks of one load. */
const SIZES: readonly number[] = [250, 500, 1000, 2000];

/** Tasks of a job where the load is in many jobs. */
const SMALL_JOB_TASKS = 50;

const WORKERS = 11;
const TASK_MS = 4000;

/** Until a leader has received the reports of all workers. */
const READY_MS = 3000;

/** Virtual time in which the leader has ordered each start, and has taken up each end. */
const PHASE_MS = { start: 3500, end: 6000 } as const;

/** Virtual time of one measured step. */
const STEP_MS = 50;

const US_PER_MS = 1000;

const STEP: Partial<poolJob.Step> = {
  estimatedMs: TASK_MS,
  resources: { cpuMillicores: 100, memoryMb: 64, accelerators: 0 },
};

interface PhaseCost {
  readonly cpuMs: number;
  /** Of the step that took most. */
  readonly longestCpuMs: number;
}

const cpuMs = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
};

const measurePhase = async (pool: poolHarness.Pool, durationMs: number): Promise<PhaseCost> => {
  const startedAtMs = cpuMs();
  let longestCpuMs = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    const beforeMs = cpuMs();
    await pool.clock.advance(STEP_MS);
    longestCpuMs = Math.max(longestCpuMs, cpuMs() - beforeMs);
  }
  return { cpuMs: cpuMs() - startedAtMs, longestCpuMs };
};

/** @returns the line of a table for a load of so many tasks in jobs of this size */
const measureLoad = async (tasks: number, tasksPerJob: number): Promise<string> => {
  const pool = poolHarness.createPool({ workers: WORKERS, workMs: () => TASK_MS });
  pool.addCandidate();
  await pool.clock.advance(READY_MS);
  for (let first = 0; first < tasks; first += tasksPerJob) {
    const step = { ...STEP, count: Math.min(tasksPerJob, tasks - first) };
    await pool.submit(fixtures.makeJob([step], { jobId: `job${first}` }));
  }
  const start = await measurePhase(pool, PHASE_MS.start);
  const started = pool.runs().length;
  const end = await measurePhase(pool, PHASE_MS.end);
  const done = pool.runs().filter(({ how }) => how === 'done').length;
  pool.dispose();
  const cells = [
    tasks,
    Math.ceil(tasks / tasksPerJob),
    `${started}/${done}`,
    (start.cpuMs / tasks).toFixed(2),
    Math.round(start.longestCpuMs),
    (end.cpuMs / tasks).toFixed(2),
    Math.round(end.longestCpuMs),
  ];
  return `| ${cells.join(' | ')} |`;
};

/**
 * @param print - receives the lines of a table
 */
export const runLargeJobBench = async (print: (line: string) => void): Promise<void> => {
  print(
    '| tasks | jobs | started/done | start, ms/task | longest step, ms | end, ms/task | longest step, ms |',
  );
  print(
    '| ----: | ---: | -----------: | -------------: | ---------------: | -----------: | ---------------: |',
  );
  for (const tasks of SIZES) {
    print(await measureLoad(tasks, tasks));
    print(await measureLoad(tasks, SMALL_JOB_TASKS));
  }
};
