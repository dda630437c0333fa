/**
 * The service-level burn report: each objective with its windows, error budget and history.
 */
import type * as configuration from '../../state/common/configuration.js';
import * as serviceLevel from '../../state/common/serviceLevel.js';

import * as burnRate from './burnRate.js';

/** One objective. */
export interface ObjectiveReport {
  readonly objective: configuration.Objective;
  readonly pairs: readonly burnRate.PairBurn[];
  readonly isBurning: boolean;
  /** Over the objective's window, or the retention period where that is shorter. */
  readonly budget: burnRate.WindowBurn;
  /** Fraction of that error budget that remains; below 0 the objective is missed. */
  readonly budgetLeftShare: number;
  /** Hours with events, in chronological order. */
  readonly history: readonly burnRate.Bucket[];
}

/** All objectives. */
export interface ServiceLevelReport {
  readonly atMs: number;
  readonly configVersion: number;
  readonly objectives: readonly ObjectiveReport[];
}

const HOUR_MS = serviceLevel.BUCKET_MS * serviceLevel.BUCKETS_PER_HOUR;
const RETAINED_MS = (serviceLevel.RETAINED_HOURS - 1) * HOUR_MS;

const bucketsOf = (
  hours: readonly serviceLevel.ServiceLevelHour[],
  objectiveId: string,
): readonly burnRate.Bucket[] =>
  hours.flatMap(({ hour, objectives }) =>
    objectives
      .filter((it) => it.objectiveId === objectiveId)
      .flatMap((it) =>
        it.good.map((good, index) => ({
          fromMs: hour * HOUR_MS + index * serviceLevel.BUCKET_MS,
          good,
          bad: it.bad[index] ?? 0,
        })),
      ),
  );

const byHour = (buckets: readonly burnRate.Bucket[]): readonly burnRate.Bucket[] => {
  const hours = new Map<number, burnRate.Bucket>();
  for (const { fromMs: bucketMs, good, bad } of buckets) {
    const fromMs = Math.floor(bucketMs / HOUR_MS) * HOUR_MS;
    const before = hours.get(fromMs) ?? { fromMs, good: 0, bad: 0 };
    hours.set(fromMs, { fromMs, good: before.good + good, bad: before.bad + bad });
  }
  return [...hours.values()]
    .filter((it) => it.good + it.bad > 0)
    .sort((a, b) => a.fromMs - b.fromMs);
};

const reportOf = (
  objective: configuration.Objective,
  hours: readonly serviceLevel.ServiceLevelHour[],
  nowMs: number,
): ObjectiveReport => {
  const buckets = bucketsOf(hours, objective.objectiveId);
  const { target, windowMs } = objective;
  const pairs = burnRate.burnOfPairs(buckets, target, nowMs);
  const budget = burnRate.burnOver(buckets, Math.min(windowMs, RETAINED_MS), target, nowMs);
  return {
    objective,
    pairs,
    isBurning: pairs.some((it) => it.isBurning),
    budget,
    budgetLeftShare: 1 - budget.burnRate,
    history: byHour(buckets),
  };
};

/**
 * @param record - the active configuration
 * @param hours - counts of all processes
 * @param nowMs - wall time
 * @returns the report
 */
export const createReport = (
  record: Pick<configuration.ConfigurationRecord, 'version' | 'document'>,
  hours: readonly serviceLevel.ServiceLevelHour[],
  nowMs: number,
): ServiceLevelReport => ({
  atMs: nowMs,
  configVersion: record.version,
  objectives: record.document.objectives.map((it) => reportOf(it, hours, nowMs)),
});
