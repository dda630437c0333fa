/**
 * `npm run bench -- saturation [SEEDS [MIX]]`: compares the value that callers gain at the worst loads
 * with two simple planners.
 */
import * as planRound from '../coordination/common/pool/planRound.js';

import * as baselines from './saturation/baselines.js';
import * as largeFleet from './saturation/largeFleet.js';
import * as mixes from './saturation/mixes.js';
import * as outcomes from './saturation/outcomes.js';
import * as poolReplay from './saturation/poolReplay.js';
import * as workload from './saturation/workload.js';

/** A replay of the large fleet takes some ten seconds, and minutes at twice its load. */
const MIXES: readonly mixes.Mix[] = [...mixes.MIXES, largeFleet.LARGE_FLEET];

/** Enough seeds to make a difference of one percent significant; the bench takes a few seconds. */
const DEFAULT_SEEDS = 12;

const PLANNERS: Readonly<Record<string, poolReplay.Planner>> = {
  ours: planRound.planRound,
  'priority, best fit': baselines.priorityBestFit,
  'first come, first fit': baselines.firstFitFifo,
};

const percent = (share: number): string => (100 * share).toFixed(1).padStart(6);

const HEADER = [
  'planner'.padEnd(22),
  'served',
  '   net',
  ' spans',
  'largest',
  'worst customer',
  'wasted',
  ' by kind',
].join(' ');

const rowOf = (name: string, outcome: outcomes.Outcome): string =>
  [
    name.padEnd(22),
    percent(outcome.served),
    percent(outcome.net),
    percent(outcome.worstSpans),
    percent(outcome.largest).padStart(7),
    percent(outcome.worstCustomer).padStart(14),
    percent(outcome.wastedShare),
    ...[...outcome.byKind].map(([kind, share]) => ` ${kind} ${percent(share).trim()}`),
  ].join(' ');

/**
 * @param args - number of seeds, then the name of a mix; both optional
 * @param print - called with each line of the results
 * @returns a promise that resolves when all results are printed
 */
export const runSaturationBench = (
  args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const seeds = Number(args[0] ?? DEFAULT_SEEDS);
  const mixName = args[1];
  for (const mix of MIXES.filter((it) => mixName === undefined || it.name === mixName)) {
    for (const strain of mixes.STRAINS) {
      print(`\n${mix.name}, ${strain.name} (shares of worth in per cent, ${seeds} seeds)`);
      print(HEADER);
      for (const [name, planner] of Object.entries(PLANNERS)) {
        const results = Array.from({ length: seeds }, (_, seed) => {
          const arrivals = workload.drawWorkload(mix, strain, seed + 1);
          return poolReplay.replay(mix, strain, arrivals, planner, seed + 1);
        });
        print(rowOf(name, outcomes.outcomeOf(mix, results)));
      }
    }
  }
  return Promise.resolve();
};
