/**
 * What must hold of the runs on all workers of a pool, whatever fails.
 */
import * as assert from 'node:assert/strict';

import * as poolWorker from '../../state/common/pool/poolWorker.js';
import type * as memoryPoolWorker from '../memoryPoolWorker.js';

/**
 * @param run - a run on any worker
 * @returns the job that it belongs to
 */
export const jobIdOf = (run: memoryPoolWorker.RecordedRun): string =>
  poolWorker.parseTaskName(run.task)?.jobId ?? '';

/**
 * Asserts that no two runs of a task overlap.
 *
 * @param runs - all runs on all workers
 */
export const assertAtMostOnce = (runs: readonly memoryPoolWorker.RecordedRun[]): void => {
  const byTask = new Map<string, memoryPoolWorker.RecordedRun[]>();
  for (const run of runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  for (const [task, its] of byTask) {
    // A run that fails immediately and the next one may start at the same time.
    const ordered = [...its].sort((a, b) => a.startedAtMs - b.startedAtMs || a.run - b.run);
    ordered.forEach((run, index) => {
      const next = ordered[index + 1];
      if (next === undefined) return;
      const endedAtMs = run.endedAtMs ?? Infinity;
      assert.ok(
        next.startedAtMs >= endedAtMs,
        `${task}: run ${next.run} began at ${next.startedAtMs}, run ${run.run} ended at ${endedAtMs}`,
      );
    });
  }
};

const isSettled = (run: memoryPoolWorker.RecordedRun): boolean =>
  run.how === 'done' && run.isAcknowledged && !run.hasLapsedSince;

/**
 * Asserts that no task starts again after a run of it was done and the end was acknowledged before the lease expired.
 *
 * @param runs - all runs on all workers
 */
export const assertNoStartAfterDone = (runs: readonly memoryPoolWorker.RecordedRun[]): void => {
  for (const done of runs.filter(isSettled)) {
    const again = runs.find(
      (it) =>
        it.task === done.task && it !== done && it.startedAtMs >= (done.endedAtMs ?? Infinity),
    );
    assert.equal(
      again,
      undefined,
      `${done.task}: run ${again?.run ?? ''} began at ${again?.startedAtMs ?? ''}, run ${done.run} was done at ${done.endedAtMs ?? ''}`,
    );
  }
};
