/**
 * Reports which jobs were late or lost and how their time divides by cause, in total, by queue, by customer and by
 * the time of their arrival.
 */
import * as errors from '../../base/common/errors.js';
import type * as jobHistory from './jobHistory.js';
import * as ownText from './ownText.js';
import * as timeSplit from './timeSplit.js';

/** Milliseconds by cause; causes without time are absent. */
export type ByCause = Readonly<Partial<Record<timeSplit.Cause, number>>>;

/** The result of one job that was not cancelled. */
export interface Loss {
  readonly jobId: string;
  readonly queue: string;
  readonly customer: string;
  /** `inTime`, `late`, `tooLate`, `failed`, or `open` if the logs end before the job does. */
  readonly end: string;
  readonly isLoss: boolean;
  /** Time until its end or the last log line. */
  readonly tookMs: number;
  readonly objectiveMs: number | undefined;
  readonly byCause: ByCause;
}

/** Totals for one queue, one customer, one window of arrival or all jobs. */
export interface Sum {
  readonly of: 'all' | 'queue' | 'customer' | 'window';
  readonly name: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly lost: number;
  /** Time of the late and lost jobs. */
  readonly byCause: ByCause;
}

const endOf = ({ end }: jobHistory.JobHistory): string => {
  if (end === undefined) return 'open';
  return end.state === 'complete' ? end.timeliness : end.state;
};

/**
 * @param job - a job's history
 * @param logContext - leader terms and the end of the log
 * @returns its result, or undefined if it was not accepted or was cancelled
 */
export const assessJob = (
  job: jobHistory.JobHistory,
  logContext: jobHistory.LogContext,
): Loss | undefined => {
  if (job.acceptedAtMs === undefined && job.end === undefined) return undefined;
  if (job.cancelledAtMs !== undefined || job.end?.state === 'cancelled') return undefined;
  const segments = timeSplit.splitTime(job, logContext);
  const rounded = [...timeSplit.sumByCause(segments)].map(([cause, ms]) => [cause, Math.round(ms)]);
  const end = endOf(job);
  const tookMs = segments.reduce((sum, it) => sum + it.untilMs - it.fromMs, 0);
  return {
    jobId: job.jobId,
    queue: ownText.copySubstring(job.queue),
    customer: ownText.copySubstring(job.customer),
    end: ownText.copySubstring(end),
    isLoss: end !== 'inTime',
    tookMs: Math.round(job.end?.durationMs ?? tookMs),
    objectiveMs: job.end === undefined ? undefined : Math.round(job.end.objectiveMs),
    byCause: Object.fromEntries(rounded) as ByCause,
  };
};

/** A sum that is being added to. */
interface MutableSum extends Sum {
  jobs: number;
  inTime: number;
  late: number;
  lost: number;
  readonly byCause: Partial<Record<timeSplit.Cause, number>>;
}

const createSum = (of: Sum['of'], name: string): MutableSum => ({
  of,
  name,
  jobs: 0,
  inTime: 0,
  late: 0,
  lost: 0,
  byCause: {},
});

const addTo = (sum: MutableSum, { end, isLoss, byCause }: Loss): void => {
  sum.jobs += 1;
  if (!isLoss) sum.inTime += 1;
  else if (end === 'late') sum.late += 1;
  else sum.lost += 1;
  for (const cause of Object.values(timeSplit.Cause)) {
    const ms = byCause[cause] ?? 0;
    if (isLoss && ms > 0) sum.byCause[cause] = (sum.byCause[cause] ?? 0) + ms;
  }
};

/** Wasted work of one queue by the cause that ended it. */
export interface ThrownAway {
  /** Empty where no line names it. */
  readonly queue: string;
  /** Why the run was stopped, or how it ended. */
  readonly cause: string;
  readonly runs: number;
  /** An accelerator counts as eight cores. */
  readonly coreSeconds: number;
}

const causeOfEnd = (run: jobHistory.GroupRun): string =>
  // The cause may be followed by the name of the group that benefits.
  run.stop?.cause.split(' ')[0] ?? run.how ?? 'open';

const addThrownAway = (sums: Map<string, ThrownAway>, job: jobHistory.JobHistory): void => {
  for (const { runs: groupRuns } of job.groups.values()) {
    for (const run of groupRuns.filter((it) => it.wastedCoreSeconds > 0)) {
      const cause = causeOfEnd(run);
      const queue = ownText.copySubstring(job.queue);
      const key = `${queue} ${cause}`;
      const { runs, coreSeconds } = sums.get(key) ?? { runs: 0, coreSeconds: 0 };
      const sum = coreSeconds + run.wastedCoreSeconds;
      sums.set(key, { queue, cause, runs: runs + 1, coreSeconds: sum });
    }
  }
};

/** A job that may be listed. */
interface Candidate {
  readonly firstAtMs: number;
  readonly loss: Loss;
}

const compareFirstLine = (a: Candidate, b: Candidate): number =>
  a.firstAtMs - b.firstAtMs || (a.loss.jobId < b.loss.jobId ? -1 : 1);

/** Keeps the earliest jobs up to a limit. */
const createListing = (maxListed: number) => {
  let candidates: Candidate[] = [];
  let seen = 0;
  const cut = (): Candidate[] => {
    candidates = candidates.sort(compareFirstLine).slice(0, maxListed);
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

/** More windows than a reader looks through; limits the memory for logs of months. */
const MAX_WINDOWS = 10_000;

/** @returns the start of the window in which a job arrived */
const windowOf = (job: jobHistory.JobHistory, windowMs: number): string => {
  const startMs = Math.floor((job.acceptedAtMs ?? job.firstAtMs) / windowMs) * windowMs;
  return new Date(startMs).toISOString();
};

/** Which jobs a report lists, and how it sums them. */
export interface ReportOptions {
  /** Selects the jobs to list. */
  readonly isListed: (loss: Loss) => boolean;
  /** Maximum number of listed jobs; the earliest are kept. */
  readonly maxListed: number;
  /** Length of the windows of arrival; undefined for no sums by window. */
  readonly windowMs?: number | undefined;
}

/** The report on all jobs. */
export interface Report {
  /** Ordered by the time of their first log line. */
  readonly jobs: readonly Loss[];
  /** Number of jobs above the listing limit. */
  readonly unlisted: number;
  /** Totals, then by queue, by customer and by window of arrival. */
  readonly sums: readonly Sum[];
  /** Sorted by cost, highest first. */
  readonly thrownAway: readonly ThrownAway[];
}

/** Adds up job histories one by one and keeps only the listed jobs in memory. */
export interface ReportBuilder {
  readonly add: (job: jobHistory.JobHistory) => void;
  readonly report: () => Report;
}

const byName = (sums: ReadonlyMap<string, MutableSum>): Sum[] =>
  [...sums.values()].sort((a, b) => (a.name < b.name ? -1 : 1));

/**
 * @param logContext - leader terms and the end of the log
 * @param options - which jobs to list, and how to sum them
 * @returns an empty builder; adding a job throws `invalidRequest` where there are too many windows
 */
export const createReportBuilder = (
  logContext: jobHistory.LogContext,
  { isListed, maxListed, windowMs }: ReportOptions,
): ReportBuilder => {
  const all = createSum('all', 'all');
  const queues = new Map<string, MutableSum>();
  const customers = new Map<string, MutableSum>();
  const windows = new Map<string, MutableSum>();
  const thrownAway = new Map<string, ThrownAway>();
  const listing = createListing(maxListed);
  const addBy = (sums: Map<string, MutableSum>, of: Sum['of'], name: string, loss: Loss): void => {
    const sum = sums.get(name) ?? createSum(of, name);
    sums.set(sum.name, sum);
    addTo(sum, loss);
  };
  const addToWindow = (job: jobHistory.JobHistory, loss: Loss): void => {
    if (windowMs === undefined) return;
    addBy(windows, 'window', windowOf(job, windowMs), loss);
    if (windows.size > MAX_WINDOWS) {
      const message = `the log has more than ${MAX_WINDOWS} windows; choose a longer one`;
      throw errors.fail('invalidRequest', message, { field: 'window' });
    }
  };
  return {
    add: (job) => {
      addThrownAway(thrownAway, job);
      const loss = assessJob(job, logContext);
      if (loss === undefined) return;
      addTo(all, loss);
      addBy(queues, 'queue', loss.queue, loss);
      addBy(customers, 'customer', loss.customer, loss);
      addToWindow(job, loss);
      if (isListed(loss)) listing.add({ firstAtMs: job.firstAtMs, loss });
    },
    report: () => ({
      jobs: listing.losses(),
      unlisted: listing.unlisted(),
      sums: [all, ...[queues, customers, windows].flatMap(byName)],
      thrownAway: [...thrownAway.values()].sort((a, b) => b.coreSeconds - a.coreSeconds),
    }),
  };
};
