/**
 * Which jobs were late or lost, and what their time went to, in sum by cause, kind and customer.
 */
import type * as jobHistory from './jobHistory.js';
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

const judge = (job: jobHistory.JobHistory, histories: jobHistory.Histories): Loss => {
  const segments = timeSplit.splitTime(job, histories);
  const rounded = [...timeSplit.sumByCause(segments)].map(([cause, ms]) => [cause, Math.round(ms)]);
  const end = endOf(job);
  const tookMs = segments.reduce((sum, it) => sum + it.untilMs - it.fromMs, 0);
  return {
    jobId: job.jobId,
    queue: job.queue,
    customer: job.customer,
    end,
    isLoss: end !== 'inTime',
    tookMs: Math.round(job.end?.durationMs ?? tookMs),
    objectiveMs: job.end === undefined ? undefined : Math.round(job.end.objectiveMs),
    byCause: Object.fromEntries(rounded) as ByCause,
  };
};

/**
 * @param histories - the jobs' lives
 * @returns each job that was accepted and not cancelled, in the order of acceptance
 */
export const judgeJobs = (histories: jobHistory.Histories): Loss[] =>
  [...histories.jobs.values()]
    .filter((it) => it.acceptedAtMs !== undefined || it.end !== undefined)
    .filter((it) => it.cancelledAtMs === undefined && it.end?.state !== 'cancelled')
    .map((it) => judge(it, histories));

const addCauses = (losses: readonly Loss[]): ByCause => {
  const sums: Partial<Record<timeSplit.Cause, number>> = {};
  for (const { byCause } of losses) {
    for (const cause of Object.values(timeSplit.Cause)) {
      const ms = byCause[cause] ?? 0;
      if (ms > 0) sums[cause] = (sums[cause] ?? 0) + ms;
    }
  }
  return sums;
};

const sumOf = (of: Sum['of'], name: string, jobs: readonly Loss[]): Sum => {
  const late = jobs.filter((it) => it.end === 'late').length;
  const losses = jobs.filter((it) => it.isLoss);
  return {
    of,
    name,
    jobs: jobs.length,
    inTime: jobs.length - losses.length,
    late,
    lost: losses.length - late,
    byCause: addCauses(losses),
  };
};

const sumsBy = (of: 'queue' | 'customer', jobs: readonly Loss[]): Sum[] => {
  const names = [...new Set(jobs.map((it) => it[of]))].sort();
  return names.map((name) => {
    const its = jobs.filter((it) => it[of] === name);
    return sumOf(of, name, its);
  });
};

/**
 * @param jobs - judged jobs
 * @returns their sums: all, by kind, by customer
 */
export const sumLosses = (jobs: readonly Loss[]): Sum[] => [
  sumOf('all', 'all', jobs),
  ...sumsBy('queue', jobs),
  ...sumsBy('customer', jobs),
];

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

/**
 * @param histories - the jobs' lives
 * @returns what was thrown away, the dearest first
 */
export const sumThrownAway = (histories: jobHistory.Histories): ThrownAway[] => {
  const sums = new Map<string, ThrownAway>();
  for (const job of histories.jobs.values()) {
    for (const run of [...job.groups.values()].flatMap((it) => it.runs)) {
      if (run.thrownAwayCoreSeconds > 0) {
        const cause = causeOfEnd(run);
        const { runs, coreSeconds } = sums.get(cause) ?? { runs: 0, coreSeconds: 0 };
        const sum = coreSeconds + run.thrownAwayCoreSeconds;
        sums.set(cause, { cause, runs: runs + 1, coreSeconds: sum });
      }
    }
  }
  return [...sums.values()].sort((a, b) => b.coreSeconds - a.coreSeconds);
};
