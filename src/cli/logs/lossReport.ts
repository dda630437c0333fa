/**
 * Which jobs were late or lost, and what their time went to, in sum by cause, kind and customer.
 */
import type * as jobHistory from './jobHistory.js';
import * as ownText from './ownText.js';
import * as timeSplit from './timeSplit.js';

/** Milliseconds by cause; a cause that took none is absent. */
export type ByCause = Readonly<Partial<Record<timeSplit.Cause, number>>>;

/** One job that was not cancelled. */
export interface Loss {
  readonly jobId: string;
  readonly queue: string;
  readonly customer: string;
  /** `inTime`, `late`, `tooLate`, `failed`, or `open` where the logs end before the job. */
  readonly end: string;
  readonly isLoss: boolean;
  /** Until its end or the last line. */
  readonly tookMs: number;
  readonly objectiveMs: number | undefined;
  readonly byCause: ByCause;
}

/** Jobs of one kind or customer, or all. */
export interface Sum {
  readonly of: 'all' | 'queue' | 'customer';
  readonly name: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  /** Time of those that were late or lost. */
  readonly byCause: ByCause;
}

const endOf = ({ end }: jobHistory.JobHistory): string => {
  if (end === undefined) return 'open';
  return end.state === 'complete' ? end.timeliness : end.state;
};

/**
 * @param job - a job's life
 * @param surroundings - what the logs tell besides
 * @returns its judgement where it was accepted and not cancelled
 */
export const judge = (
  job: jobHistory.JobHistory,
  surroundings: jobHistory.Surroundings,
): Loss | undefined => {
  if (job.acceptedAtMs === undefined && job.end === undefined) return undefined;
  if (job.cancelledAtMs !== undefined || job.end?.state === 'cancelled') return undefined;
  const segments = timeSplit.splitTime(job, surroundings);
  const rounded = [...timeSplit.sumByCause(segments)].map(([cause, ms]) => [cause, Math.round(ms)]);
  const end = endOf(job);
  const tookMs = segments.reduce((sum, it) => sum + it.untilMs - it.fromMs, 0);
  return {
    jobId: job.jobId,
    queue: ownText.ownText(job.queue),
    customer: ownText.ownText(job.customer),
    end: ownText.ownText(end),
    isLoss: end !== 'inTime',
    tookMs: Math.round(job.end?.durationMs ?? tookMs),
    objectiveMs: job.end === undefined ? undefined : Math.round(job.end.objectiveMs),
    byCause: Object.fromEntries(rounded) as ByCause,
  };
};

/** A sum that grows. */
interface OpenSum extends Sum {
  jobs: number;
  inTime: number;
  late: number;
  lost: number;
  readonly byCause: Partial<Record<timeSplit.Cause, number>>;
}

const createSum = (of: Sum['of'], name: string): OpenSum => ({
  of,
  name,
  jobs: 0,
  inTime: 0,
  late: 0,
  lost: 0,
  byCause: {},
});

const addTo = (sum: OpenSum, { end, isLoss, byCause }: Loss): void => {
  sum.jobs += 1;
  if (!isLoss) sum.inTime += 1;
  else if (end === 'late') sum.late += 1;
  else sum.lost += 1;
  for (const cause of Object.values(timeSplit.Cause)) {
    const ms = byCause[cause] ?? 0;
    if (isLoss && ms > 0) sum.byCause[cause] = (sum.byCause[cause] ?? 0) + ms;
  }
};

/** Work that came to nothing, by what ended it. */
export interface ThrownAway {
  /** The cause of the stop, or how the run ended. */
  readonly cause: string;
  readonly runs: number;
  /** An accelerator counts as eight cores. */
  readonly coreSeconds: number;
}

const causeOfEnd = (run: jobHistory.GroupRun): string =>
  // The beneficiary's name stands behind the cause.
  run.stop?.cause.split(' ')[0] ?? run.how ?? 'open';

const addThrownAway = (sums: Map<string, ThrownAway>, job: jobHistory.JobHistory): void => {
  for (const { runs: groupRuns } of job.groups.values()) {
    for (const run of groupRuns.filter((it) => it.thrownAwayCoreSeconds > 0)) {
      const cause = causeOfEnd(run);
      const { runs, coreSeconds } = sums.get(cause) ?? { runs: 0, coreSeconds: 0 };
      const sum = coreSeconds + run.thrownAwayCoreSeconds;
      sums.set(cause, { cause, runs: runs + 1, coreSeconds: sum });
    }
  }
};

/** A job that may be listed. */
interface Candidate {
  readonly firstAtMs: number;
  readonly loss: Loss;
}

const inOrder = (a: Candidate, b: Candidate): number =>
  a.firstAtMs - b.firstAtMs || (a.loss.jobId < b.loss.jobId ? -1 : 1);

/** Keeps the first of any number of jobs. */
const createListing = (maxListed: number) => {
  let candidates: Candidate[] = [];
  let seen = 0;
  const cut = (): Candidate[] => {
    candidates = candidates.sort(inOrder).slice(0, maxListed);
    return candidates;
  };
  return {
    add: (candidate: Candidate): void => {
      seen += 1;
      candidates.push(candidate);
      if (candidates.length >= 2 * maxListed) cut();
    },
    losses: (): Loss[] => cut().map((it) => it.loss),
    unlisted: (): number => Math.max(0, seen - maxListed),
  };
};

/** What is told of all jobs. */
export interface Report {
  /** In the order of their first lines. */
  readonly jobs: readonly Loss[];
  /** How many more there are than are listed. */
  readonly unlisted: number;
  /** All, by queue, by customer. */
  readonly sums: readonly Sum[];
  /** The dearest first. */
  readonly thrownAway: readonly ThrownAway[];
}

/** Takes the jobs' lives one by one, and keeps a record of those only that it lists. */
export interface ReportBuilder {
  readonly add: (job: jobHistory.JobHistory) => void;
  readonly report: () => Report;
}

const byName = (sums: ReadonlyMap<string, OpenSum>): Sum[] =>
  [...sums.values()].sort((a, b) => (a.name < b.name ? -1 : 1));

/**
 * @param surroundings - what the logs tell besides
 * @param isListed - which jobs are listed
 * @param maxListed - how many at most: those that came first
 * @returns a builder that has taken nothing yet
 */
export const createReportBuilder = (
  surroundings: jobHistory.Surroundings,
  isListed: (loss: Loss) => boolean,
  maxListed: number,
): ReportBuilder => {
  const all = createSum('all', 'all');
  const queues = new Map<string, OpenSum>();
  const customers = new Map<string, OpenSum>();
  const thrownAway = new Map<string, ThrownAway>();
  const listing = createListing(maxListed);
  const addBy = (of: 'queue' | 'customer', sums: Map<string, OpenSum>, loss: Loss): void => {
    const sum = sums.get(loss[of]) ?? createSum(of, loss[of]);
    sums.set(sum.name, sum);
    addTo(sum, loss);
  };
  return {
    add: (job) => {
      addThrownAway(thrownAway, job);
      const loss = judge(job, surroundings);
      if (loss === undefined) return;
      addTo(all, loss);
      addBy('queue', queues, loss);
      addBy('customer', customers, loss);
      if (isListed(loss)) listing.add({ firstAtMs: job.firstAtMs, loss });
    },
    report: () => ({
      jobs: listing.losses(),
      unlisted: listing.unlisted(),
      sums: [all, ...byName(queues), ...byName(customers)],
      thrownAway: [...thrownAway.values()].sort((a, b) => b.coreSeconds - a.coreSeconds),
    }),
  };
};
