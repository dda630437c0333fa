/**
 * The demo: requests from callers in all regions and a mix of jobs, judged by the stand-ins' own
 * records of what they executed.
 */
import * as ledgerHours from '../coordination/common/ledgerHours.js';
import type * as configuration from '../state/common/configuration.js';
import * as job from '../state/common/job.js';

import * as demoClient from './demoClient.js';
import * as demoJobs from './demoJobs.js';
import type * as devHost from './devHost.js';

/** What the demo found. */
export interface DemoResult {
  readonly rows: readonly (readonly [string, string])[];
  /** Promises that were broken; empty in a good run. */
  readonly broken: readonly string[];
}

/** What the demo needs. */
export interface DemoOptions {
  readonly host: devHost.DevHost;
  readonly document: configuration.ConfigurationDocument;
  readonly client: demoClient.DemoClient;
  readonly print: (line: string) => void;
  readonly nowMs: () => number;
  readonly sleep: (durationMs: number) => Promise<void>;
}

const REQUESTS_PER_ENTRY = 120;
const REQUESTS_AT_ONCE = 12;
const WAIT_LIMIT_MS = 22_000;
const POLL_MS = 100;
const MS_PER_HOUR = 3_600_000;

const waitFor = async (
  options: DemoOptions,
  what: string,
  isDone: () => Promise<boolean>,
): Promise<boolean> => {
  const untilMs = options.nowMs() + WAIT_LIMIT_MS;
  while (options.nowMs() < untilMs) {
    const done = await isDone().catch(() => false);
    if (done) return true;
    await options.sleep(POLL_MS);
  }
  options.print(`  gave up waiting: ${what}`);
  return false;
};

const sendRequests = async (options: DemoOptions): Promise<readonly demoClient.CallResult[]> => {
  const customers = options.document.customers.map((it) => it.customerId);
  const results: demoClient.CallResult[] = [];
  const caller = async (entryIndex: number, lane: number): Promise<void> => {
    const { callersUrl } = options.host.entries[entryIndex]?.program ?? { callersUrl: '' };
    for (let index = lane; index < REQUESTS_PER_ENTRY; index += REQUESTS_AT_ONCE) {
      const customerId = customers[index % customers.length] ?? '';
      const requestId = `request-${entryIndex}-${index}`;
      results.push(await options.client.request(callersUrl, requestId, customerId));
    }
  };
  const lanes = Array.from({ length: REQUESTS_AT_ONCE }, (_unused, lane) => lane);
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

/** Members that really ran, by job and attempt, from the workers' own records. */
const startedMembers = (options: DemoOptions): ReadonlyMap<string, number> => {
  const started = new Map<string, number>();
  for (const vm of options.host.vms) {
    for (const run of vm.worker.runs()) {
      const attempt = run.key.slice(0, run.key.lastIndexOf('/'));
      started.set(attempt, (started.get(attempt) ?? 0) + 1);
    }
  }
  return started;
};

/** Jobs all of whose members ended by themselves in one attempt, from the workers' own records. */
const jobsDone = (options: DemoOptions): number => {
  const isWhole = new Map<string, boolean>();
  for (const run of options.host.vms.flatMap((it) => it.worker.runs())) {
    const attempt = run.key.slice(0, run.key.lastIndexOf('/'));
    isWhole.set(attempt, run.end === 'done' && (isWhole.get(attempt) ?? true));
  }
  const done = [...isWhole].filter(([, whole]) => whole).map(([attempt]) => attempt);
  return new Set(done.map((it) => it.slice(0, it.lastIndexOf('/')))).size;
};

/** Accelerator time of everything that ran, from the workers' own records. */
const hoursRun = (options: DemoOptions): number =>
  options.host.vms
    .flatMap((it) => it.worker.runs())
    .map((it) => it.accelerators.length * ((it.endedAtMs ?? options.nowMs()) - it.startedAtMs))
    .reduce((sum, it) => sum + it / MS_PER_HOUR, 0);

/** A token that ran more than once anywhere would be a job that ran twice. */
const doubleRuns = (options: DemoOptions): number => {
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

/** Hours by reason, and whether entries and capacity agree. */
const readBooks = async (
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

/** A leader that is still taking its cell over refuses and says that nothing ran: ask again. */
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
    `jobs: guaranteed claim started ${Math.round(options.nowMs() - claimedAtMs)} ms after it was made`,
  );
  const ends = await Promise.all([
    waitFor(options, 'the gang to finish', () => isInState(options, jobs.gang, 'done')),
    waitFor(options, 'the claim to finish', () => isInState(options, jobs.claim, 'done')),
    waitFor(options, 'the cancellation', () => isInState(options, jobs.cancelled, 'cancelled')),
  ]);
  return ends.every((it) => it);
};

const settled = (options: DemoOptions): Promise<boolean> =>
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
 * @returns the table of what happened, and the promises that were broken
 */
export const runDemo = async (options: DemoOptions): Promise<DemoResult> => {
  const { print } = options;
  await settled(options);
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
  const twice = [...executions.values()].filter((it) => it > 1).length;
  const wrong = answered.filter((it) => echoedId(it) !== it.requestId).length;
  const refusedRan = results.filter(
    (it) => it.status !== 200 && kindOf(it) !== 'outcomeUnknown' && executions.has(it.requestId),
  ).length;
  // The last spans reach the store with the schedulers' next write.
  await options.sleep(5500);
  const books = await readBooks(options);
  const gangMembers = [...startedMembers(options)].filter(([key]) => key.startsWith('gang-0/'));
  const halfGangs = gangMembers.filter(([, count]) => count !== jobs.gang.members).length;
  const jobsTwice = doubleRuns(options);
  const hourRows = [...books.hours]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([reason, hours]) => [`accelerator-hours: ${reason}`, hours.toFixed(4)] as const);
  const checks: readonly (readonly [boolean, string])[] = [
    [twice === 0, `${twice} requests ran twice`],
    [wrong === 0, `${wrong} callers got another request's answer`],
    [refusedRan === 0, `${refusedRan} refused requests ran`],
    [jobsTwice === 0, `${jobsTwice} tasks ran twice`],
    [gangMembers.length > 0 && halfGangs === 0, `${halfGangs} gangs started in part`],
    [haveJobsEnded, 'not every job ended as it should'],
    [books.imbalanceMs === 0, `the books are off by ${books.imbalanceMs} accelerator-ms`],
    [answered.length > 0, 'no request was answered'],
  ];
  return {
    rows: [
      ['requests answered', String(answered.length)],
      ['requests refused (did not run)', String(refused)],
      ['requests with unknown outcome', String(unknown.length)],
      ['requests run twice', String(twice)],
      ['jobs done', String(jobsDone(options))],
      ['gangs started whole', String(gangMembers.length - halfGangs)],
      ['gangs started in part', String(halfGangs)],
      ['tasks run twice', String(jobsTwice)],
      ['accelerator-hours run, by the workers', hoursRun(options).toFixed(4)],
      ...hourRows,
      ['books balance', books.imbalanceMs === 0 ? 'yes' : 'no'],
    ],
    broken: checks.filter(([isKept]) => !isKept).map(([, message]) => message),
  };
};
