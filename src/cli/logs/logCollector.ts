/**
 * Takes collected logs line by line, in any order, and gives the jobs' events back in the order of time. It keeps
 * compressed what the question needs, and of the rest counts and the times of the schedulers' lines.
 */
import * as eventSpool from './eventSpool.js';
import * as jobHistory from './jobHistory.js';
import * as leaderTerms from './leaderTerms.js';
import * as logLines from './logLines.js';

/** What a question needs of the logs. */
export interface Question {
  /** Whether an event is kept. */
  readonly needs: (event: logLines.LogEvent, jobId: string) => boolean;
  /** Fields by name; all unless given. */
  readonly fields?: ReadonlySet<string>;
}

/** Lines that were passed over, by reason. */
export type Skipped = Readonly<Record<logLines.SkipReason, number>>;

/** What was read. */
export interface Collected {
  readonly surroundings: jobHistory.Surroundings;
  /** The jobs of the events that were kept, in no order. */
  readonly jobs: () => Iterable<eventSpool.JobEvents>;
  /** Known when all jobs were read. */
  readonly skipped: () => Skipped;
}

/** Takes the lines of collected logs, of any number of processes in any order. */
export interface LogCollector {
  readonly take: (line: string, isWhole?: boolean) => void;
  /** What was read, where there was a line of ours. */
  readonly collected: () => Collected | undefined;
}

/** What is kept of one job, whose events are held at once. */
export interface JobLimits {
  readonly maxJobEvents: number;
  readonly maxJobCharacters: number;
}

/** Twice what a job of 9,300 tasks writes. */
const JOB_LIMITS: JobLimits = { maxJobEvents: 200_000, maxJobCharacters: 67_108_864 };

/**
 * @param question - what is needed of the logs
 * @param limits - what is kept of one job: the events that are read first
 * @returns a collector that has taken nothing yet
 */
export const createLogCollector = (
  { needs, fields }: Question,
  limits = JOB_LIMITS,
): LogCollector => {
  const skipped = { foreign: 0, cut: 0, tooLong: 0, beyond: 0 };
  const spool = eventSpool.createEventSpool({
    ...limits,
    ...(fields === undefined ? {} : { fields }),
  });
  const termReader = leaderTerms.createTermReader();
  let lastAtMs = -Infinity;
  const takeEvent = (event: logLines.LogEvent): void => {
    lastAtMs = Math.max(lastAtMs, event.atMs);
    termReader.take(event);
    const jobId = jobHistory.jobIdOf(event);
    if (jobId !== undefined && needs(event, jobId)) spool.add(jobId, event);
  };
  return {
    take: (line, isWhole) => {
      if (line.trim() === '') return;
      const parsed = logLines.parseLine(line, isWhole);
      if (typeof parsed === 'string') skipped[parsed] += 1;
      else takeEvent(parsed);
    },
    collected: () =>
      lastAtMs === -Infinity
        ? undefined
        : {
            surroundings: { ...termReader.terms(), lastAtMs },
            jobs: spool.jobs,
            skipped: () => ({ ...skipped, beyond: spool.beyond() }),
          },
  };
};
