/**
 * Attributes failures either to workers or to jobs, by where jobs failed.
 *
 * A faulty worker that fails everything it starts is always free, so it attracts the queue and
 * fails all of it within minutes. A failure counts against a worker only while the job has failed
 * nowhere else: a failure of the same job on a second worker clears the first. Placement avoids
 * workers where the job has failed, so the second result follows.
 */
import * as job from '../../state/common/job.js';

import type * as planTypes from './planTypes.js';

/** Failures older than this don't count against a worker. */
export const MAX_AGE_MS = 3_600_000;

/** Time in quarantine before a probe: long enough for a transient fault to end. */
export const PROBE_AFTER_MS = 120_000;

/** A probe that has run for this long shows that the worker is healthy again. */
export const PROBE_SUCCESS_MS = 30_000;

/** Workers to quarantine, release or probe according to the failures. */
export interface FailureAttribution {
  readonly quarantines: readonly planTypes.PlannedHealthChange[];
  readonly releases: readonly planTypes.PlannedHealthChange[];
  readonly warnings: readonly string[];
  /** Quarantined workers on which one small job may be placed as a probe. */
  readonly probeWorkerIds: ReadonlySet<string>;
}

/**
 * @param records - jobs
 * @param workers - the cell's workers
 * @param nowMs - the current time
 * @returns for each worker the ids of the jobs that failed there and nowhere else
 */
export const failuresByWorker = (
  records: Iterable<job.JobRecord>,
  workers: readonly planTypes.PlanWorker[],
  nowMs: number,
): Map<string, Set<string>> => {
  const blameFromMs = new Map(workers.map((it) => [it.workerId, it.ignoreFailuresUntilMs ?? 0]));
  const blamed = new Map<string, Set<string>>();
  for (const record of records) {
    const [first, ...rest] = record.failures;
    if (first === undefined) continue;
    if (rest.some((it) => it.workerId !== first.workerId)) continue;
    const lastMs = Math.max(first.atMs, ...rest.map((it) => it.atMs));
    if (nowMs - lastMs > MAX_AGE_MS || lastMs <= (blameFromMs.get(first.workerId) ?? 0)) continue;
    const jobIds = blamed.get(first.workerId) ?? new Set<string>();
    blamed.set(first.workerId, jobIds.add(record.spec.jobId));
  }
  return blamed;
};

/**
 * @param record - a job
 * @param quarantinedWorkerIds - workers that are quarantined
 * @returns number of distinct workers that are not quarantined and on which it failed
 */
export const countHealthyWorkerFailures = (
  record: job.JobRecord,
  quarantinedWorkerIds: ReadonlySet<string>,
): number =>
  new Set(record.failures.map((it) => it.workerId).filter((it) => !quarantinedWorkerIds.has(it)))
    .size;

/** For each worker, the longest time that one of its running jobs has run there. */
const longestRunMs = (view: planTypes.PlanView): Map<string, number> => {
  const longest = new Map<string, number>();
  for (const record of view.jobs) {
    if (record.state !== job.JobState.running || record.startedAtMs === undefined) continue;
    const ranMs = view.nowMs - record.startedAtMs;
    for (const { workerId } of record.placement) {
      longest.set(workerId, Math.max(ranMs, longest.get(workerId) ?? 0));
    }
  }
  return longest;
};

const lastFailureMs = (records: readonly job.JobRecord[], workerId: string): number =>
  records
    .flatMap((it) => it.failures)
    .filter((it) => it.workerId === workerId)
    .reduce((last, it) => Math.max(last, it.atMs), 0);

/**
 * Determines which workers to quarantine, to probe and to release.
 *
 * The cap guards against a common cause, such as a broken image or network, which makes many
 * workers look faulty together. Beyond the cap no worker is quarantined and operators are warned,
 * since taking the cell out of service would do more harm than the failures.
 *
 * @param view - the current state of the cell
 * @returns health changes, probes and warnings
 */
export const attributeFailures = (view: planTypes.PlanView): FailureAttribution => {
  const { nowMs, workers } = view;
  const { quarantineFailures, quarantineCapShare } = view.document.placement;
  const records = view.jobs
    .filter((it) => it.failures.length > 0)
    .concat(view.endedFailedJobs ?? []);
  const autoQuarantined = workers.filter((it) => it.autoQuarantinedSinceMs !== undefined);
  if (records.length === 0 && autoQuarantined.length === 0) return NO_ATTRIBUTION;
  const blamed = failuresByWorker(records, workers, nowMs);
  const longestRuns = longestRunMs(view);
  const releases: planTypes.PlannedHealthChange[] = [];
  const probeWorkerIds = new Set<string>();
  for (const it of autoQuarantined) {
    const since = Math.max(it.autoQuarantinedSinceMs ?? 0, lastFailureMs(records, it.workerId));
    const isCleared = (blamed.get(it.workerId)?.size ?? 0) < quarantineFailures;
    if ((longestRuns.get(it.workerId) ?? 0) >= PROBE_SUCCESS_MS) {
      releases.push({ workerId: it.workerId, why: 'a probe job runs on it without a failure' });
    } else if (isCleared) {
      releases.push({
        workerId: it.workerId,
        why: 'too few failures still count against it',
      });
    } else if (nowMs - since >= PROBE_AFTER_MS) probeWorkerIds.add(it.workerId);
  }
  const suspects = workers
    .filter((it) => it.health === 'ready' && (longestRuns.get(it.workerId) ?? 0) < PROBE_SUCCESS_MS)
    .map((it) => ({ workerId: it.workerId, failed: blamed.get(it.workerId)?.size ?? 0 }))
    .filter((it) => it.failed >= quarantineFailures)
    .sort((a, b) => b.failed - a.failed || a.workerId.localeCompare(b.workerId));
  const cap =
    quarantineCapShare === 0 ? 0 : Math.max(1, Math.floor(quarantineCapShare * workers.length));
  const quarantinedNow = workers.filter((it) => it.health === 'quarantined').length;
  const remainingCap = Math.max(0, cap - (quarantinedNow - releases.length));
  if (suspects.length > remainingCap) {
    const warning =
      `jobs fail on ${suspects.length} more workers, but at most ${cap} may be quarantined: ` +
      'look for a common cause';
    return { quarantines: [], releases, warnings: [warning], probeWorkerIds };
  }
  const quarantines = suspects.map((it) => ({
    workerId: it.workerId,
    why: `${it.failed} jobs failed on it and nowhere else`,
  }));
  return { quarantines, releases, warnings: [], probeWorkerIds };
};

/** Result when no job failed and no worker is quarantined. */
export const NO_ATTRIBUTION: FailureAttribution = {
  quarantines: [],
  releases: [],
  warnings: [],
  probeWorkerIds: new Set(),
};
