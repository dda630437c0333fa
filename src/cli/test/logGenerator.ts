/**
 * Writes a log of any size to standard output, some 2.5 kB per job: `node logGenerator.js JOBS`. Every fiftieth
 * job is late.
 */
import * as stream from 'node:stream';

const START_MS = Date.parse('2026-05-18T00:00:00.000Z');
const ARRIVAL_INTERVAL_MS = 100;
const TASKS = 3;
const RUN_MS = 60_000;
const LATE_EVERY = 50;
const JOBS_PER_CHUNK = 100;

const line = (atMs: number, event: string, role: string, rest: string): string =>
  `at=${new Date(START_MS + atMs).toISOString()} event=${event} role=${role} node=${role}-1 ` +
  `level=info ${rest}\n`;

const taskLines = (jobId: string, task: number, fromMs: number): string => {
  const group = `${jobId}.0.0.${task}`;
  const run = `job=${jobId} group=${group} run=1`;
  const end = `${run} how=done heldMs=${RUN_MS} cores=8 checkpointing=false`;
  return [
    line(fromMs, 'waits', 'scheduler', `job=${jobId} group=${group} reason="no room"`),
    line(fromMs + 50, 'placed', 'scheduler', `${run} workers=worker-${task} waitedMs=50 away=0`),
    line(fromMs + 60, 'startGiven', 'agent', `task=${group} run=1 fence=7 outcome=accepted`),
    line(fromMs + 70, 'startSent', 'scheduler', `task=${group} run=1 worker=worker-${task}`),
    line(fromMs + RUN_MS, 'endListed', 'agent', `task=${group} run=1 how=done`),
    line(fromMs + RUN_MS + 9, 'runEnded', 'scheduler', end),
  ].join('');
};

const jobLines = (index: number): string => {
  // Ids in no order, like real ones.
  const jobId = (BigInt(index + 1) * 0x9e37_79b9_7f4a_7c15n).toString(16).slice(-16);
  const atMs = index * ARRIVAL_INTERVAL_MS;
  const customer = `queue=q${index % 4} customer=c${index % 52}`;
  const timeliness = index % LATE_EVERY === 0 ? 'late' : 'inTime';
  const endMs = atMs + RUN_MS + 100;
  const state = `state=complete durationMs=${RUN_MS + 100} objectiveMs=50000`;
  return [
    line(atMs, 'jobAccepted', 'entry', `job=${jobId} ${customer}`),
    line(atMs + 5, 'jobLearnt', 'scheduler', `job=${jobId} recordsAgeMs=3`),
    ...Array.from({ length: TASKS }, (_, task) => taskLines(jobId, task, atMs + 5)),
    line(
      endMs,
      'jobEnded',
      'scheduler',
      `job=${jobId} ${customer} ${state} timeliness=${timeliness}`,
    ),
    `kernel: job ${index} of another program\n`,
  ].join('');
};

const log = function* log(jobs: number): Generator<string> {
  yield line(-1000, 'loaded', 'scheduler', '');
  for (let index = 0; index < jobs; index += JOBS_PER_CHUNK) {
    const count = Math.min(JOBS_PER_CHUNK, jobs - index);
    yield Array.from({ length: count }, (_, it) => jobLines(index + it)).join('');
  }
};

stream.Readable.from(log(Number(process.argv[2]))).pipe(process.stdout);
