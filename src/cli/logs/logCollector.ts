/**
 * Collects log lines in any order and returns the jobs' events sorted by time. The events that a query needs are
 * stored compressed; of the other lines it keeps counts and the times of the schedulers' lines.
 */
import * as eventSpool from './eventSpool.js';
import * as jobHistory from './jobHistory.js';
import * as leaderTerms from './leaderTerms.js';
import * as logLines from './logLines.js';

/** Which events and fields a command needs. */
export interface LogQuery {
  /** Whether an event is stored. */
  readonly needs: (event: logLines.LogEvent, jobId: string) => boolean;
  /** Names of the fields to store; all by default. */
  readonly fields?: ReadonlySet<string>;
}

/** Number of skipped lines by reason. */
export type Skipped = Readonly<Record<logLines.SkipReason, number>>;

/** The content of the collected logs. */
export interface CollectedLogs {
  readonly logContext: jobHistory.LogContext;
  /** The jobs of the stored events, in no particular order. */
  readonly jobs: () => Iterable<eventSpool.JobEvents>;
  /** Complete only after all jobs were read. */
  readonly skipped: () => Skipped;
}

/** Accepts log lines of any number of processes in any order. */
export interface LogCollector {
  readonly add: (line: string, isComplete?: boolean) => void;
  /** The content, or undefined without a log line of an auburnlift process. */
  readonly collected: () => CollectedLogs | undefined;
}

/** Limits for one job, all of whose events are in memory together. */
export interface JobLimits {
  readonly maxJobEvents: number;
  readonly maxJobCharacters: number;
}

/** Twice what a job of 9,300 tasks logs. */
const JOB_LIMITS: JobLimits = { maxJobEvents: 200_000, maxJobCharacters: 67_108_864 };

/**
 * @param query - the events and fields to store
 * @param limits - limits per job; the events read first are kept
 * @returns an empty collector
 */
export const createLogCollector = (
  { needs, fields }: LogQuery,
  limits = JOB_LIMITS,
): LogCollector => {
  const skipped = { foreign: 0, cut: 0, tooLong: 0, beyond: 0 };
  const spool = eventSpool.createEventSpool({
    ...limits,
    ...(fields === undefined ? {} : { fields }),
  });
  const termCollector = leaderTerms.createTermCollector();
  let lastAtMs = -Infinity;
  const takeEvent = (event: logLines.LogEvent): void => {
    lastAtMs = Math.max(lastAtMs, event.atMs);
    termCollector.add(event);
    const jobId = jobHistory.jobIdOf(event);
    if (jobId !== undefined && needs(event, jobId)) spool.add(jobId, event);
  };
  return {
    add: (line, isComplete) => {
      if (line.trim() === '') return;
      const parsed = logLines.parseLine(line, isComplete);
      if (typeof parsed === 'string') skipped[parsed] += 1;
      else takeEvent(parsed);
    },
    collected: () =>
      lastAtMs === -Infinity
        ? undefined
        : {
            logContext: { ...termCollector.terms(), lastAtMs },
            jobs: spool.jobs,
            skipped: () => ({ ...skipped, beyond: spool.beyond() }),
          },
  };
};
