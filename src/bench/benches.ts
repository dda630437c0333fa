/**
 * Registry of the project's benches by name.
 */
import * as runCapacity from './capacity/runCapacity.js';
import * as jobsBench from './jobsBench.js';
import * as largeJobBench from './largeJobBench.js';
import * as planningBench from './planningBench.js';
import * as configurationBench from './configurationBench.js';
import * as requestsBench from './requestsBench.js';
import * as rpcBench from './rpcBench.js';
import * as saturationBench from './saturationBench.js';
import * as speedBench from './speedBench.js';

/** Runs a bench with its command-line arguments and prints the results line by line. */
export type Bench = (args: readonly string[], print: (line: string) => void) => Promise<void>;

/** All benches by their command-line name. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  capacity: runCapacity.runCapacity,
  jobs: jobsBench.runJobsBench,
  configuration: configurationBench.runConfigurationBench,
  requests: requestsBench.runRequestsBench,
  rpc: rpcBench.runRpcBench,
  planning: planningBench.runPlanningBench,
  saturation: saturationBench.runSaturationBench,
  largeJobs: (_, print) => largeJobBench.runLargeJobBench(print),
  speeds: (_, print) => speedBench.runSpeedBench(print),
};
