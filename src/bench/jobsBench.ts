/**
 * `npm run bench -- jobs`: compares quality and speed of job placement with two baselines.
 */
import * as path from 'node:path';
import * as url from 'node:url';

import * as settingsFile from '../base/node/settingsFile.js';
import * as systemClock from '../base/node/systemClock.js';
import * as placement from '../coordination/common/placement.js';
import * as configuration from '../state/common/configuration.js';

import * as jobsBaselines from './jobsBaselines.js';
import * as jobsCost from './jobsCost.js';
import * as jobsDriver from './jobsDriver.js';
import * as jobsFigures from './jobsFigures.js';
import * as jobsReport from './jobsReport.js';
import * as jobsWorkloads from './jobsWorkloads.js';

const DEPLOYMENTS = ['kamarvaki', 'vanua-paws'] as const;
const SEED = 20_261_203;

const PLANNERS: Readonly<Record<string, jobsBaselines.Planner>> = {
  [jobsReport.OURS]: placement.planRound,
  [jobsReport.FIFO]: jobsBaselines.firstFitFifo,
  [jobsReport.BACKFILL]: jobsBaselines.bestFitBackfill,
};

const readDocument = (name: string): configuration.ConfigurationDocument => {
  const here = path.dirname(url.fileURLToPath(import.meta.url));
  const file = path.join(here, '../../examples', name, 'configuration.jsonc');
  return settingsFile.readSettings(configuration.ConfigurationDocument, file);
};

const clockMs = (): number => systemClock.systemClock.monotonicMs();

type ArrivalFilter = (arrival: jobsWorkloads.Arrival) => boolean;

/** Simulates a workload in all cells of a deployment. */
const measure = (
  document: configuration.ConfigurationDocument,
  name: string,
  planner: jobsBaselines.Planner,
  isIncluded: ArrivalFilter,
): jobsFigures.Figures => {
  const figures = jobsFigures.createFigures(document);
  document.cells.forEach(({ cell }, index) => {
    const fullWorkload = jobsWorkloads.createWorkload(name, document, cell, SEED + index);
    const workload = { ...fullWorkload, arrivals: fullWorkload.arrivals.filter(isIncluded) };
    jobsDriver.simulateJobs({ document, cell, workload, planner, figures, clockMs });
  });
  return figures;
};

/** Keeps only large jobs and claims, to measure how long large jobs wait without smaller jobs. */
const isLargeOrClaim: ArrivalFilter = ({ spec }) => spec.kind === 'large' || spec.kind === 'claim';

/**
 * @param args - names of workloads; all if empty
 * @param print - called with each line of the results
 * @returns a promise that resolves when all results are printed
 */
export const runJobsBench = (
  args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const names = args.length > 0 ? args : jobsWorkloads.WORKLOAD_NAMES;
  const bars: jobsReport.AcceptanceLimit[] = [];
  for (const deployment of DEPLOYMENTS) {
    const document = readDocument(deployment);
    for (const name of names) {
      const results = new Map(
        Object.entries(PLANNERS).map(([key, planner]) => [
          key,
          measure(document, name, planner, () => true),
        ]),
      );
      const alone = measure(document, name, placement.planRound, isLargeOrClaim);
      jobsReport.printTable(`${deployment} / ${name}`, results, print);
      const floorMs = document.placement.largeJobWaitMs;
      bars.push(...jobsReport.checkLimits(`${deployment} / ${name}`, results, alone, floorMs));
    }
  }
  bars.push(...jobsCost.measureCost(clockMs, print));
  jobsReport.printLimits(bars, print);
  return Promise.resolve();
};
