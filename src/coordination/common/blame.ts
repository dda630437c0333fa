/**
 * Tells bad workers from bad jobs, from where jobs failed.
 *
 * Made for a worker that fails everything it starts: it is always free, so it draws the queue into
 * itself and fails all of it within minutes. A failure counts against a worker only while the job
 * has failed nowhere else: a job that fails on a second worker as well clears the first. Placement
 * never puts a job again where it failed, so the second opinion always comes.
 */
import * as job from '../../state/common/job.js';

import type * as planTypes from './planTypes.js';

/** Failures older than this say nothing about a worker now. */
export const EVIDENCE_MS = 3_600_000;

/** Time in quarantine before a probe: long enough that a fault that cures itself is over. */
export const PROBE_AFTER_MS = 120_000;

/** A probe that has run for this long shows that the worker works again. */
export const PROBE_GOOD_MS = 30_000;

/** What the failures say. */
export interface BlameVerdict {
  readonly quarantines: readonly planTypes.PlannedHealth[];
  readonly releases: readonly planTypes.PlannedHealth[];
  readonly warnings: readonly string[];
  /** Quarantined workers on which one small job may be tried. */
  readonly probeWorkerIds: ReadonlySet<string>;
}

/**
 * @param records - jobs
 * @param workers - the cell's workers
 * @param nowMs - the time now
 * @returns for each worker the ids of the jobs that failed there and nowhere else
 */
export const failuresByWorker = (
  records: Iterable<job.JobRecord>,
  workers: readonly planTypes.PlanWorker[],
  nowMs: number,
): Map<string, Set<string>> => {
  const blameFromMs = new Map(workers.map((it) => [it.workerId, it.blameFromMs ?? 0]));
  const blamed = new Map<string, Set<string>>();
  for (const record of records) {
    const [first, ...rest] = record.failures;
    if (first === undefined) continue;
    if (rest.some((it) => it.workerId !== first.workerId)) continue;
    const lastMs = Math.max(first.atMs, ...rest.map((it) => it.atMs));
    if (nowMs - lastMs > EVIDENCE_MS || lastMs <= (blameFromMs.get(first.workerId) ?? 0)) continue;
    const jobIds = blamed.get(first.workerId) ?? new Set<string>();
    blamed.set(first.workerId, jobIds.add(record.spec.jobId));
  }
  return blamed;
};

/**
 * @param record - a job
 * @param badWorkerIds - workers that are quarantined
 * @returns the distinct good workers on which it failed
 */
export const goodWorkerFailures = (
  record: job.JobRecord,
  badWorkerIds: ReadonlySet<string>,
): number =>
  new Set(record.failures.map((it) => it.workerId).filter((it) => !badWorkerIds.has(it))).size;

/** Since when jobs run on each worker without a failure of theirs there. */
const goodRunMs = (view: planTypes.PlanView): Map<string, number> => {
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
 * Which workers to quarantine, to probe and to release.
 *
 * The cap guards against a common cause, a broken image or network for instance, which looks like
 * many bad workers at once: beyond the cap nobody is quarantined and operators are told, since
 * taking the cell out of service would do more harm than the failures.
 *
 * @param view - the cell now
 * @returns the verdict
 */
export const judge = (view: planTypes.PlanView): BlameVerdict => {
  const { nowMs, workers } = view;
  const { quarantineFailures, quarantineCapShare } = view.document.placement;
  const records = view.jobs
    .filter((it) => it.failures.length > 0)
    .concat(view.endedFailedJobs ?? []);
  const held = workers.filter((it) => it.autoQuarantinedSinceMs !== undefined);
  if (records.length === 0 && held.length === 0) return NO_BLAME;
  const blamed = failuresByWorker(records, workers, nowMs);
  const goodMs = goodRunMs(view);
  const releases: planTypes.PlannedHealth[] = [];
  const probeWorkerIds = new Set<string>();
  for (const it of held) {
    const since = Math.max(it.autoQuarantinedSinceMs ?? 0, lastFailureMs(records, it.workerId));
    const isCleared = (blamed.get(it.workerId)?.size ?? 0) < quarantineFailures;
    if ((goodMs.get(it.workerId) ?? 0) >= PROBE_GOOD_MS) {
      releases.push({ workerId: it.workerId, why: 'a probe ran well on it' });
    } else if (isCleared) {
      releases.push({ workerId: it.workerId, why: 'the jobs that failed on it failed elsewhere' });
    } else if (nowMs - since >= PROBE_AFTER_MS) probeWorkerIds.add(it.workerId);
  }
  const suspects = workers
    .filter((it) => it.health === 'ready' && (goodMs.get(it.workerId) ?? 0) < PROBE_GOOD_MS)
    .map((it) => ({ workerId: it.workerId, failed: blamed.get(it.workerId)?.size ?? 0 }))
    .filter((it) => it.failed >= quarantineFailures)
    .sort((a, b) => b.failed - a.failed || a.workerId.localeCompare(b.workerId));
  const cap =
    quarantineCapShare === 0 ? 0 : Math.max(1, Math.floor(quarantineCapShare * workers.length));
  const quarantinedNow = workers.filter((it) => it.health === 'quarantined').length;
  const room = Math.max(0, cap - (quarantinedNow - releases.length));
  if (suspects.length > room) {
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

/** Nothing failed. */
export const NO_BLAME: BlameVerdict = {
  quarantines: [],
  releases: [],
  warnings: [],
  probeWorkerIds: new Set(),
};
