/**
 * Runner for tables of planning rounds: the workers and jobs of each case, and what starts, is preempted and relocated.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as poolJob from '../../../../state/common/pool/poolJob.js';
import * as planRound from '../planRound.js';
import type * as planTypes from '../planTypes.js';
import * as fixtures from './poolFixtures.js';

/** One planning round. */
export interface Case {
  readonly name: string;
  readonly workers: () => planTypes.PlanWorker[];
  readonly jobs: readonly poolJob.PoolJob[];
  /** Time since the jobs were accepted. */
  readonly waitedMs?: number;
  readonly guarantees?: planTypes.Guarantees;
  readonly maxStarts?: number;
  /** Group keys that start, each with its workers. */
  readonly starts: Readonly<Record<string, readonly string[]>>;
  readonly preemptions?: readonly string[];
  /** Jobs whose first unit is a straggler, with the workers that run it. */
  readonly stragglers?: readonly {
    readonly job: poolJob.PoolJob;
    readonly on: readonly string[];
  }[];
  readonly relocations?: readonly string[];
}

/**
 * @param title - title of the group
 * @param cases - the cases
 */
export const describeCases = (title: string, cases: readonly Case[]): void => {
  test.describe(title, () => {
    for (const it of cases) {
      test.it(it.name, () => {
        const plan = planRound.planRound({
          nowMs: it.waitedMs ?? 0,
          workers: it.workers(),
          units: fixtures.makeUnits(it.jobs, it.waitedMs),
          stragglerUnits: (it.stragglers ?? []).flatMap(({ job, on }) =>
            fixtures.makeUnits([job]).map((unit) => ({ unit, workerIds: new Set(on) })),
          ),
          remoteFactor: 3,
          guarantees: it.guarantees ?? new Map(),
          ...(it.maxStarts === undefined ? {} : { maxStarts: it.maxStarts }),
        });
        const starts = Object.fromEntries(
          plan.starts.map(({ unit, workers }) => [
            unit.groupKey,
            workers.map((worker) => worker.workerId),
          ]),
        );
        assert.deepEqual(starts, it.starts);
        assert.deepEqual([...plan.preemptions.keys()], it.preemptions ?? []);
        assert.deepEqual(
          plan.relocations.map((unit) => unit.groupKey),
          it.relocations ?? [],
        );
      });
    }
  });
};
