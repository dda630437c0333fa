/**
 * The demo: sends requests through all entries and a mix of jobs, and checks the results against what the
 * stand-ins recorded as executed.
 */
import * as ledgerHours from '../coordination/common/ledgerHours.js';
import type * as configuration from '../state/common/configuration.js';
import * as job from '../state/common/job.js';

import * as demoClient from './demoClient.js';
import * as demoJobs from './demoJobs.js';
import type * as devHost from './devHost.js';

/** Result of the demo. */
export interface DemoResult {
  readonly rows: readonly (readonly [string, string])[];
  /** Violated invariants; empty if the demo passed. */
  readonly broken: readonly string[];
}

/** Options of the demo. */
export interface DemoOptions {
  readonly host: devHost.DevHost;
  readonly document: configuration.ConfigurationDocument;
  readonly client: demoClient.DemoClient;
  readonly print: (line: string) => void;
  readonly nowMs: () => number;
  readonly sleep: (durationMs: number) => Promise<void>;
}

const REQUESTS_PER_ENTRY = 120;
const CONCURRENT_REQUESTS = 12;
const WAIT_TIMEOUT_MS = 22_000;
const POLL_MS = 100;
const MS_PER_HOUR = 3_600_000;

const waitFor = async (
  options: DemoOptions,
  what: string,
  isDone: () => Promise<boolean>,
): Promise<boolean> => {
  const untilMs = options.nowMs() + WAIT_TIMEOUT_MS;
  while (options.nowMs() < untilMs) {
    const done = await isDone().catch(() => false);
    if (done) return true;
    await options.sleep(POLL_MS);
  }
  options.print(`  timed out waiting for ${what}`);
  return false;
};

const sendRequests = async (options: DemoOptions): Promise<readonly demoClient.CallResult[]> => {
  const customers = options.document.customers.map((it) => it.customerId);
  const results: demoClient.CallResult[] = [];
  const caller = async (entryIndex: number, lane: number): Promise<void> => {
    const { callersUrl } = options.host.entries[entryIndex]?.program ?? { callersUrl: '' };
    for (let index = lane; index < REQUESTS_PER_ENTRY; index += CONCURRENT_REQUESTS) {
      const customerId = customers[index % customers.length] ?? '';
      const requestId = `request-${entryIndex}-${index}`;
      results.push(await options.client.request(callersUrl, requestId, customerId));
    }
  };
  const lanes = Array.from({ length: CONCURRENT_REQUESTS }, (_unused, lane) => lane);
  await Promise.all(
    options.host.entries.flatMap((_entry, index) => lanes.map((lane) => caller(index, lane))),
  );
  return results;
};

const stateOf = async (options: DemoOptions, spec: job.JobSpec): Promise<job.JobState> => {
  const { callersUrl } = options.host.entries[0]?.program ?? { callersUrl: '' };
  return (await options.client.show(callersUrl, spec)).state;
};

const isInState = async (
  options: DemoOptions,
  spec: job.JobSpec,
  ...states: readonly job.JobState[]
): Promise<boolean> => states.includes(await stateOf(options, spec));

/** Number of members that ran in each attempt of a job, from the workers' records. */
const countMembersByAttempt = (options: DemoOptions): ReadonlyMap<string, number> => {
  const started = new Map<string, number>();
  for (const vm of options.host.vms) {
    for (const run of vm.worker.runs()) {
      const attempt = run.key.slice(0, run.key.lastIndexOf('/'));
      started.set(attempt, (started.get(attempt) ?? 0) + 1);
    }
  }
  return started;
};

/** Number of jobs with an attempt in which every member completed, from the workers' records. */
const countDoneJobs = (options: DemoOptions): number => {
  const areAllDone = new Map<string, boolean>();
  for (const run of options.host.vms.flatMap((it) => it.worker.runs())) {
    const attempt = run.key.slice(0, run.key.lastIndexOf('/'));
    areAllDone.set(attempt, run.end === 'done' && (areAllDone.get(attempt) ?? true));
  }
  const done = [...areAllDone].filter(([, isDone]) => isDone).map(([attempt]) => attempt);
  return new Set(done.map((it) => it.slice(0, it.lastIndexOf('/')))).size;
};

/** Accelerator-hours of all runs, from the workers' records. */
const acceleratorHoursRun = (options: DemoOptions): number =>
  options.host.vms
    .flatMap((it) => it.worker.runs())
    .map((it) => it.accelerators.length * ((it.endedAtMs ?? options.nowMs()) - it.startedAtMs))
    .reduce((sum, it) => sum + it / MS_PER_HOUR, 0);

/** Number of run keys that were executed more than once, on one or several workers. */
const countDuplicateRuns = (options: DemoOptions): number => {
  const counts = new Map<string, number>();
  for (const vm of options.host.vms) {
    for (const run of vm.worker.runs()) counts.set(run.key, (counts.get(run.key) ?? 0) + 1);
  }
  return [...counts.values()].filter((it) => it > 1).length;
};

const executionsOf = (options: DemoOptions): ReadonlyMap<string, number> => {
  const all = new Map<string, number>();
  for (const vm of options.host.vms) {
    for (const [id, count] of vm.upstream.executions()) all.set(id, (all.get(id) ?? 0) + count);
  }
  return all;
};

const echoedId = (result: demoClient.CallResult): string =>
  (result.body as { requestId?: string } | null)?.requestId ?? '';

const kindOf = (result: demoClient.CallResult): string =>
  (result.body as { error?: { kind?: string } } | null)?.error?.kind ?? '';

/** Accelerator-hours by reason, and by how much ledger entries and capacity differ. */
const readLedger = async (
  options: DemoOptions,
): Promise<{ readonly hours: ReadonlyMap<string, number>; readonly imbalanceMs: number }> => {
  const hours = new Map<string, number>();
  let imbalanceMs = 0;
  const { operatorsUrl } = options.host.entries[0]?.program ?? { operatorsUrl: '' };
  for (const { cell } of options.document.cells) {
    for (const hour of await options.client.ledger(operatorsUrl, cell)) {
      imbalanceMs += Math.abs(ledgerHours.imbalanceOf(hour));
      for (const it of hour.entries) {
        hours.set(it.reason, (hours.get(it.reason) ?? 0) + it.acceleratorMs / MS_PER_HOUR);
      }
    }
  }
  return { hours, imbalanceMs };
};

/** Submits a job; retries because a leader refuses jobs, with nothing run, during its takeover. */
const submit = async (options: DemoOptions, spec: job.JobSpec): Promise<void> => {
  const { callersUrl } = options.host.entries[0]?.program ?? { callersUrl: '' };
  await waitFor(options, `${spec.jobId} to be accepted`, async () => {
    const result = await options.client.submit(callersUrl, spec);
    return result.status === 201;
  });
};

const runJobs = async (options: DemoOptions, jobs: demoJobs.DemoJobs): Promise<boolean> => {
  const { client, print } = options;
  const { callersUrl } = options.host.entries[0]?.program ?? { callersUrl: '' };
  for (const spec of jobs.borrowers) await submit(options, spec);
  await submit(options, jobs.gang);
  await submit(options, jobs.cancelled);
  print(`jobs: ${jobs.borrowers.length} borrowers, a gang of ${jobs.gang.members} submitted`);
  await waitFor(options, 'borrowers to run', async () =>
    isInState(options, jobs.borrowers[0] as job.JobSpec, 'running'),
  );
  await waitFor(options, 'the job to cancel to run', () =>
    isInState(options, jobs.cancelled, 'running'),
  );
  await client.cancel(callersUrl, jobs.cancelled.cell, [jobs.cancelled.jobId]);
  print('jobs: one running job cancelled');
  const claimedAtMs = options.nowMs();
  await submit(options, jobs.claim);
  await waitFor(options, 'the claim to start', () =>
    isInState(options, jobs.claim, 'running', 'done'),
  );
  print(
    `jobs: guaranteed claim started ${Math.round(options.nowMs() - claimedAtMs)} ms after its submission`,
  );
  const ends = await Promise.all([
    waitFor(options, 'the gang to finish', () => isInState(options, jobs.gang, 'done')),
    waitFor(options, 'the claim to finish', () => isInState(options, jobs.claim, 'done')),
    waitFor(options, 'the cancellation', () => isInState(options, jobs.cancelled, 'cancelled')),
  ]);
  return ends.every((it) => it);
};

const waitUntilReady = (options: DemoOptions): Promise<boolean> =>
  waitFor(options, 'the system to be ready', async () => {
    const { client, host } = options;
    const ready = await Promise.all(
      host.entries.map((it) => client.isReady(it.program.callersUrl)),
    );
    const { operatorsUrl } = host.entries[0]?.program ?? { operatorsUrl: '' };
    const cells = await client.cells(operatorsUrl);
    return ready.every((it) => it) && cells.every((it) => it.isLed);
  });

/**
 * @param options - the running system
 * @returns the result table and the violated invariants
 */
export const runDemo = async (options: DemoOptions): Promise<DemoResult> => {
  const { print } = options;
  await waitUntilReady(options);
  print('all entries are ready and all cells are led');
  const jobs = demoJobs.createDemoJobs(options.document);
  const [results, haveJobsEnded] = await Promise.all([
    sendRequests(options).then((it) => {
      print(`requests: ${it.length} sent through ${options.host.entries.length} entries`);
      return it;
    }),
    runJobs(options, jobs),
  ]);
  const answered = results.filter((it) => it.status === 200);
  const unknown = results.filter((it) => kindOf(it) === 'outcomeUnknown');
  const refused = results.length - answered.length - unknown.length;
  const executions = executionsOf(options);
  const duplicates = [...executions.values()].filter((it) => it > 1).length;
  const misdelivered = answered.filter((it) => echoedId(it) !== it.requestId).length;
  const executedRefused = results.filter(
    (it) => it.status !== 200 && kindOf(it) !== 'outcomeUnknown' && executions.has(it.requestId),
  ).length;
  // The last spans reach the store with the schedulers' next periodic write.
  await options.sleep(5500);
  const ledger = await readLedger(options);
  const gangMembers = [...countMembersByAttempt(options)].filter(([key]) =>
    key.startsWith('gang-0/'),
  );
  const partialGangs = gangMembers.filter(([, count]) => count !== jobs.gang.members).length;
  const duplicateRuns = countDuplicateRuns(options);
  const hourRows = [...ledger.hours]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([reason, hours]) => [`accelerator-hours: ${reason}`, hours.toFixed(4)] as const);
  const checks: readonly (readonly [boolean, string])[] = [
    [duplicates === 0, `${duplicates} requests ran twice`],
    [misdelivered === 0, `${misdelivered} callers got the response of another request`],
    [executedRefused === 0, `${executedRefused} refused requests were executed`],
    [duplicateRuns === 0, `${duplicateRuns} tasks ran twice`],
    [gangMembers.length > 0 && partialGangs === 0, `${partialGangs} gangs started in part`],
    [haveJobsEnded, 'not every job ended as expected'],
    [
      ledger.imbalanceMs === 0,
      `the ledger differs from the capacity by ${ledger.imbalanceMs} accelerator-ms`,
    ],
    [answered.length > 0, 'no request was answered'],
  ];
  return {
    rows: [
      ['requests answered', String(answered.length)],
      ['requests refused (did not run)', String(refused)],
      ['requests with unknown outcome', String(unknown.length)],
      ['requests run twice', String(duplicates)],
      ['jobs done', String(countDoneJobs(options))],
      ['gangs started complete', String(gangMembers.length - partialGangs)],
      ['gangs started in part', String(partialGangs)],
      ['tasks run twice', String(duplicateRuns)],
      ['accelerator-hours run, by the workers', acceleratorHoursRun(options).toFixed(4)],
      ...hourRows,
      ['books balance', ledger.imbalanceMs === 0 ? 'yes' : 'no'],
    ],
    broken: checks.filter(([isMet]) => !isMet).map(([, message]) => message),
  };
};
