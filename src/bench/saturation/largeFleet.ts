/**
 * A load on a fleet of 160 workers: gangs that need several whole workers, urgent gangs in bursts and wide steps of
 * small tasks, with nine tenths of the capacity asked for on the mean. Its kinds are those of eleven workers, wider.
 */
import * as mixes from './mixes.js';

const WIDE_GANG: mixes.JobKind = {
  ...mixes.PLACEMENT_PLAN,
  name: 'wide-gang',
  jobsPerSecond: 0.714,
  tasks: { mean: 13, spread: 0.8, max: 76 },
  workMs: { mean: 12_143, spread: 0.3, max: 15_700 },
  memoryMb: 53_000,
  gangShare: 1,
  doesSameRackFit: true,
  failShare: 0.02,
  estimateFactor: 1.5,
};

const URGENT_GANG: mixes.JobKind = {
  ...mixes.PUMP_ROUTE,
  name: 'urgent-gang',
  attempts: 4,
  jobsPerSecond: 2.28,
  tasks: { mean: 5.3, spread: 0.8, max: 32 },
  memoryMb: 15_000,
  gangShare: 1,
  doesSameRackFit: true,
  failShare: 0.05,
  estimateFactor: 1.2,
};

const SMALL_TASKS: mixes.JobKind = {
  ...mixes.CREW_ROSTER,
  name: 'small-tasks',
  attempts: 4,
  jobsPerSecond: 0.559,
  tasks: { mean: 38, spread: 0.8, max: 230 },
  memoryMb: 11_000,
  dataShare: 0.12,
};

/** The load. */
export const LARGE_FLEET: mixes.Mix = {
  ...mixes.KAMARVAKI,
  name: 'large-fleet',
  workers: 160,
  rackSize: 8,
  capacity: { cpuMillicores: 64_000, memoryMb: 131_072, accelerators: 8 },
  customers: 24,
  checkpointMs: 1000,
  kinds: [WIDE_GANG, URGENT_GANG, SMALL_TASKS],
};
