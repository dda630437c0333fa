/**
 * Times of entire tasks from the progress of their runs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as runTiming from '../runTiming.js';

interface Case {
  readonly name: string;
  /** Worker's clock and percentage of each report. */
  readonly samples: readonly (readonly [clockMs: number, percent: number])[];
  /** Last time that the progress showed; undefined for none. */
  readonly timedMs: number | undefined;
}

const CASES: readonly Case[] = [
  {
    name: 'a steady run',
    samples: [
      [0, 10],
      [1000, 30],
      [2000, 50],
    ],
    timedMs: 5000,
  },
  {
    name: 'a run is timed from the last report before it made progress',
    samples: [
      [100, 0],
      [1000, 45],
    ],
    timedMs: 2000,
  },
  {
    name: 'little progress says nothing yet',
    samples: [
      [0, 10],
      [1000, 15],
    ],
    timedMs: undefined,
  },
  {
    // Guards against a gang member that waits for the others and looks slower the longer it waits.
    name: 'a member that has done its part is timed up to there',
    samples: [
      [0, 20],
      [1000, 60],
      [2000, 100],
      [9000, 100],
    ],
    timedMs: 2500,
  },
  {
    // Guards against a start that is held up by the order or by other members and looks like slow work.
    name: 'time without any progress does not count',
    samples: [
      [0, 0],
      [5000, 0],
      [6000, 20],
      [7000, 40],
    ],
    timedMs: 5000,
  },
  {
    // Guards against a worker that stands still for some seconds and passes for a slow one.
    name: 'a run that stood still is timed anew from there',
    samples: [
      [0, 10],
      [1000, 30],
      [8000, 31],
      [9000, 51],
    ],
    timedMs: 5000,
  },
  {
    name: 'progress that goes back is timed anew from there',
    samples: [
      [0, 60],
      [1000, 80],
      [2000, 10],
      [3000, 20],
    ],
    timedMs: 10_000,
  },
  {
    name: 'a clock that does not advance is left out',
    samples: [
      [5000, 10],
      [4000, 30],
      [5000, 30],
      [6000, 30],
    ],
    timedMs: 5000,
  },
];

test.describe('time of a task from its progress', () => {
  for (const { name, samples, timedMs } of CASES) {
    test.it(name, () => {
      const timing = runTiming.createRunTiming();
      let last: number | undefined;
      for (const [clockMs, percent] of samples) {
        last = runTiming.recordSample(timing, { clockMs, percent }) ?? last;
      }
      assert.equal(last, timedMs);
    });
  }
});
