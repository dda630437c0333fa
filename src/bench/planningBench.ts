/**
 * `npm run bench -- planning`: measures the processor time of a pool's planning round by pool size.
 */
import * as systemClock from '../base/node/systemClock.js';
import * as runtimeEstimates from '../coordination/common/pool/runtimeEstimates.js';
import * as jobState from '../coordination/common/pool/jobState.js';
import * as planRound from '../coordination/common/pool/planRound.js';
import type * as planTypes from '../coordination/common/pool/planTypes.js';
import * as readyQueue from '../coordination/common/pool/readyQueue.js';
import type * as poolJob from '../state/common/pool/poolJob.js';

interface Size {
  readonly workers: number;
  readonly runsPerWorker: number;
  readonly waiting: number;
}

/** The two present deployments, a leader of an availability zone, and the target size of the design. */
const SIZES: readonly Size[] = [
  { workers: 11, runsPerWorker: 8, waiting: 20 },
  { workers: 112, runsPerWorker: 14, waiting: 60 },
  { workers: 670, runsPerWorker: 14, waiting: 60 },
];

const ROUNDS = 7;
const WAITED_MS = 2000;
const RACK_SIZE = 4;
const CORES = 64_000;
const MEMORY_MB = 256_000;
const WIDEST_GANG = 64;

const makeJob = (index: number): poolJob.PoolJob => {
  const isWide = index % 10 === 0;
  return {
    jobId: `job-${index}`,
    customerId: `customer-${index % 52}`,
    payload: '',
    acceptedAtMs: 0,
    steps: [
      {
        count: isWide ? Math.min(WIDEST_GANG, 4 + index) : 1 + (index % 4),
        resources: { cpuMillicores: 4000, memoryMb: 8000, accelerators: isWide ? 2 : 1 },
        estimatedMs: 5000,
        after: [],
        isCheckpointing: index % 2 === 0,
        isGang: true,
        isSameRack: index % 3 === 0 && !isWide,
        maxPerWorker: 0,
        isSpeculative: false,
        isLongRunning: false,
        targetLatencyMs: 0,
        isFiller: false,
      },
    ],
    policy: {
      queue: 'queue',
      service: 'service',
      priority: index % 3,
      attempts: 3,
      stretch: 3,
      objectiveMs: 1000,
      needsAdvice: false,
    },
  };
};

const makeWorker = (index: number, runs: number): planTypes.PlanWorker => {
  const room = {
    cpuMillicores: CORES / (runs + 1),
    memoryMb: MEMORY_MB / (runs + 1),
    accelerators: index % 2,
  };
  const holdings = Array.from({ length: runs }, (_, run): planTypes.Allocation => {
    // Every fourth run belongs to a gang that spans workers.
    const gang = run % 4 === 0 ? `gang-${Math.floor(index / RACK_SIZE)}-${run}` : undefined;
    const task = `run-${index}-${run}`;
    return {
      jobId: task,
      task,
      run: 1,
      room: { ...room, accelerators: 8 / runs },
      stepKey: gang ?? task,
      groupKey: gang ?? task,
      priority: 1 + (run % 2),
      customerId: 'customer',
      isLeaving: false,
      isProtected: false,
      preemptions: 0,
      isCheckpointing: false,
      unsavedMs: 1000 + 17 * run,
      boundMs: 0,
      remainingMs: 4000 + 31 * run,
    };
  });
  return {
    workerId: `worker-${index}`,
    agentId: `agent-${index}`,
    incarnationMs: 1,
    service: 'service',
    rack: `rack-${Math.floor(index / RACK_SIZE)}`,
    labels: [],
    capacity: { cpuMillicores: CORES, memoryMb: MEMORY_MB, accelerators: 8 },
    free: { cpuMillicores: CORES / (runs + 1), memoryMb: MEMORY_MB / (runs + 1), accelerators: 0 },
    allocations: holdings,
    isSuspect: false,
    isDoubtful: false,
    isProven: false,
    speedFactor: 1,
    placedSteps: new Map(),
    placedJobIds: new Set(),
  };
};

const roundMs = (size: Size): number => {
  const workers = Array.from({ length: size.workers }, (_, index) =>
    makeWorker(index, size.runsPerWorker),
  );
  const queue = readyQueue.createReadyQueue(runtimeEstimates.createRuntimeEstimates());
  const entries = Array.from({ length: size.waiting }, (_, index) =>
    jobState.createJobEntry(makeJob(index), 0),
  );
  queue.units(entries, 0, 0);
  const units = queue.units(entries, WAITED_MS, WAITED_MS);
  const guarantees = new Map(Array.from({ length: 52 }, (_, index) => [`customer-${index}`, 4]));
  const startedAtMs = systemClock.systemClock.monotonicMs();
  planRound.planRound({
    nowMs: WAITED_MS,
    workers,
    units,
    stragglerUnits: [],
    guarantees,
    remoteFactor: 3,
  });
  return systemClock.systemClock.monotonicMs() - startedAtMs;
};

/**
 * @param _args - unused
 * @param print - called with each line of the results
 * @returns a promise that resolves when all results are printed
 */
export const runPlanningBench = (
  _args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  for (const size of SIZES) {
    const times = Array.from({ length: ROUNDS }, () => roundMs(size)).sort((a, b) => a - b);
    const median = times[Math.floor(ROUNDS / 2)] ?? 0;
    const runs = size.workers * size.runsPerWorker;
    print(
      `${size.workers} workers, ${runs} runs, ${size.waiting} waiting units: ` +
        `median ${median.toFixed(1)} ms, worst ${(times.at(-1) ?? 0).toFixed(1)} ms`,
    );
  }
  return Promise.resolve();
};
