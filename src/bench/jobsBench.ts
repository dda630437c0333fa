/**
 * `npm run bench -- jobs`: how well and how fast jobs are placed, side by side with two baselines.
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

type Keep = (arrival: jobsWorkloads.Arrival) => boolean;

/** Runs a workload in all cells of a deployment. */
const measure = (
  document: configuration.ConfigurationDocument,
  name: string,
  planner: jobsBaselines.Planner,
  keep: Keep,
): jobsFigures.Figures => {
  const figures = jobsFigures.createFigures(document);
  document.cells.forEach(({ cell }, index) => {
    const whole = jobsWorkloads.createWorkload(name, document, cell, SEED + index);
    const workload = { ...whole, arrivals: whole.arrivals.filter(keep) };
    jobsDriver.drive({ document, cell, workload, planner, figures, clockMs });
  });
  return figures;
};

/** Large jobs and claims alone: what a large job would wait if nobody else were in the queue. */
const isLargeOrClaim: Keep = ({ spec }) => spec.kind === 'large' || spec.kind === 'claim';

/**
 * @param args - names of workloads; all without any
 * @param print - prints a line
 * @returns when all is printed
 */
export const runJobsBench = (
  args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const names = args.length > 0 ? args : jobsWorkloads.WORKLOAD_NAMES;
  const bars: jobsReport.Bar[] = [];
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
      bars.push(...jobsReport.judge(`${deployment} / ${name}`, results, alone, floorMs));
    }
  }
  bars.push(...jobsCost.measureCost(clockMs, print));
  jobsReport.printBars(bars, print);
  return Promise.resolve();
};
