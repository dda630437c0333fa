/**
 * `npm run bench -- speeds`: the error of learnt speeds of workers against the true ones, and what learning costs.
 */
import * as statistics from '../base/common/statistics.js';

import * as speedLoads from './speedLoads.js';

const SPREADS: readonly (readonly number[])[] = [
  [1],
  [0.88, 1.14],
  [0.7, 0.7, 1.7],
  [0.5, 1.1, 2.2],
  [1, 1, 1, 5],
];
const WORKERS = [10, 55, 670] as const;
const RUNS = [1, 3, 10] as const;
const SEEDS = 5;

const BASE = { tasksPerStep: 6, unevenness: 0.3, declarationError: 0.2, tailShare: 0.03 } as const;

const figure = (value: number): string => value.toFixed(3).padStart(9);

/**
 * @param print - called with each line of the results
 * @returns a promise that resolves when all results are printed
 */
export const runSpeedBench = (print: (line: string) => void): Promise<void> => {
  print('workers  runs  factors               error  unlearnt     equal    ms per seed');
  for (const workers of WORKERS) {
    for (const runsPerWorker of RUNS) {
      for (const factors of SPREADS) {
        const startedAtMs = performance.now();
        const errors = Array.from({ length: SEEDS }, (_, seed) =>
          speedLoads.measureError({ ...BASE, workers, runsPerWorker, factors }, seed + 1),
        );
        const tookMs = (performance.now() - startedAtMs) / SEEDS;
        print(
          [
            String(workers).padStart(7),
            String(runsPerWorker).padStart(5),
            `  ${factors.join(' ').padEnd(16)}`,
            figure(statistics.mean(errors.map((it) => it.logError))),
            figure(statistics.mean(errors.map((it) => it.logErrorUnlearnt))),
            figure(statistics.mean(errors.map((it) => it.equalShare))),
            figure(tookMs),
          ].join(' '),
        );
      }
    }
  }
  return Promise.resolve();
};
