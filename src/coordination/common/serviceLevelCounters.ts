/**
 * Evaluates requests and job starts against the customers' objectives and counts the results. Pure.
 */
import * as errorKinds from '../../base/common/errorKinds.js';
import * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';
import * as serviceLevel from '../../state/common/serviceLevel.js';

/** Result of one event for one objective. */
export interface ObjectiveResult {
  readonly objectiveId: string;
  readonly isGood: boolean;
}

/** A completed request. */
export interface RequestEnd {
  readonly customerId: string;
  readonly tookMs: number;
  /** Undefined where it succeeded. */
  readonly error: errorKinds.ErrorKind | undefined;
}

/** Counts by hour and objective. */
export type Counts = ReadonlyMap<number, ReadonlyMap<string, serviceLevel.ObjectiveHour>>;

/** Errors caused by the caller don't count against the service. */
const CALLER_ERRORS: ReadonlySet<errorKinds.ErrorKind> = new Set([
  'invalidRequest',
  'unauthenticated',
  'forbidden',
  'notFound',
  'conflict',
  'tooLarge',
  'unrunnable',
  'cancelled',
  'tombstoned',
]);

/**
 * A refusal counts against `notRefused` only, so that one event does not count against a customer's
 * service twice; a request that ran without a complete answer counts against `answeredWithin`.
 *
 * @param objectives - all active objectives
 * @param end - a completed request
 * @returns the result for each objective that applies to the request
 */
export const evaluateRequest = (
  objectives: readonly configuration.Objective[],
  end: RequestEnd,
): readonly ObjectiveResult[] => {
  const { error } = end;
  if (error !== undefined && CALLER_ERRORS.has(error)) return [];
  const isRefused = error !== undefined && errorKinds.ERROR_TABLE[error].ran === errorKinds.Ran.no;
  return objectives
    .filter((it) => it.customerId === end.customerId)
    .flatMap(({ objectiveId, kind, thresholdMs }): readonly ObjectiveResult[] => {
      if (kind === configuration.ObjectiveKind.notRefused) {
        return [{ objectiveId, isGood: !isRefused }];
      }
      if (kind !== configuration.ObjectiveKind.answeredWithin || isRefused) return [];
      return [{ objectiveId, isGood: error === undefined && end.tookMs <= thresholdMs }];
    });
};

/**
 * Evaluates a guaranteed job once: when it first runs, or when it ends without having run. A job
 * that ended without running counts only if it had already waited too long.
 *
 * @param objectives - all active objectives
 * @param before - the job before the change
 * @param after - the job after the change
 * @param nowMs - wall time of the change
 * @returns the result for each objective that applies to the change
 */
export const evaluateStart = (
  objectives: readonly configuration.Objective[],
  before: job.JobRecord,
  after: job.JobRecord,
  nowMs: number,
): readonly ObjectiveResult[] => {
  const { spec, submittedAtMs } = after;
  if (spec.claim !== job.Claim.guaranteed || before.state === after.state) return [];
  const hasRunBefore = after.decisions.filter((it) => it.what === 'started').length > 1;
  const isFirstRun = after.state === job.JobState.running && !hasRunBefore;
  const hasNeverRun = !after.decisions.some((it) => it.what === 'started');
  const isEndWithoutRun = job.isTerminal(after.state) && hasNeverRun;
  if (!isFirstRun && !isEndWithoutRun) return [];
  const waitedMs = nowMs - submittedAtMs;
  return objectives
    .filter((it) => it.customerId === spec.customerId)
    .filter((it) => it.kind === configuration.ObjectiveKind.startWithin)
    .filter((it) => isFirstRun || waitedMs > it.thresholdMs)
    .map(({ objectiveId, thresholdMs }) => ({
      objectiveId,
      isGood: isFirstRun && waitedMs <= thresholdMs,
    }));
};

const HOUR_MS = serviceLevel.BUCKET_MS * serviceLevel.BUCKETS_PER_HOUR;
const EMPTY: readonly number[] = Array.from({ length: serviceLevel.BUCKETS_PER_HOUR }, () => 0);

/**
 * @param atMs - wall time
 * @returns hours since the Unix epoch
 */
export const hourOf = (atMs: number): number => Math.floor(atMs / HOUR_MS);

const increment = (buckets: readonly number[], at: number): readonly number[] =>
  buckets.map((count, index) => (index === at ? count + 1 : count));

/**
 * @param counts - counts so far
 * @param verdicts - results of one event
 * @param atMs - wall time of the event
 * @returns the counts including the event
 */
export const add = (counts: Counts, verdicts: readonly ObjectiveResult[], atMs: number): Counts => {
  const hour = hourOf(atMs);
  const bucket = Math.floor((atMs % HOUR_MS) / serviceLevel.BUCKET_MS);
  const ofHour = new Map(counts.get(hour));
  for (const { objectiveId, isGood } of verdicts) {
    const known = ofHour.get(objectiveId) ?? { objectiveId, good: EMPTY, bad: EMPTY };
    const side = isGood ? 'good' : 'bad';
    ofHour.set(objectiveId, { ...known, [side]: increment(known[side], bucket) });
  }
  return new Map([...counts, [hour, ofHour]]);
};
