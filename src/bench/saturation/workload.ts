/**
 * Draws the jobs of one replay from a mix and a strain with a seed.
 */
import type * as random from '../../base/common/random.js';
import * as randoms from '../../base/common/random.js';
import * as planRound from '../../coordination/common/pool/planRound.js';
import * as poolJob from '../../state/common/pool/poolJob.js';
import type * as mixes from './mixes.js';

/** A job with properties that are known only to the replay, not to the scheduler. */
export interface Arrival {
  readonly atMs: number;
  readonly kind: mixes.JobKind;
  readonly job: poolJob.PoolJob;
  /** Work of each task by step and index, with local data. */
  readonly workMs: readonly (readonly number[])[];
  /** Whether all runs of the job fail. */
  readonly isPoison: boolean;
  /** Time at which the caller cancels the job; infinite if it doesn't. */
  readonly cancelAtMs: number;
  /** Work in core-milliseconds; an accelerator counts as eight cores. */
  readonly coreMs: number;
}

/** Duration of the arrivals. */
export const ARRIVALS_MS = 46_000;

/** Interval of the burst of urgent jobs. */
const BURST = { fromMs: 8000, untilMs: 14_000 } as const;

const drawSize = (next: random.Random, { mean, spread, max }: mixes.JobKind['workMs']): number =>
  Math.min(max, mean * Math.exp(spread * randoms.normal(next) - (spread * spread) / 2));

/** Draws the rack that holds a step's data, if its data is on a single rack. */
const drawDataRack = (
  next: random.Random,
  kind: mixes.JobKind,
  mix: mixes.Mix,
): { readonly preferredRack?: string } => {
  if (kind.dataShare === undefined || next() >= kind.dataShare) return {};
  const racks = Math.ceil(mix.workers / mix.rackSize);
  return { preferredRack: `rack-${randoms.integerBelow(next, racks)}` };
};

const canSameRack = (
  kind: mixes.JobKind,
  mix: mixes.Mix,
  count: number,
  resources: poolJob.Resources,
): boolean =>
  kind.doesSameRackFit !== true ||
  count <= mix.rackSize * poolJob.countFittingTasks(mix.capacity, resources);

const drawSteps = (
  next: random.Random,
  kind: mixes.JobKind,
  mix: mixes.Mix,
): { steps: poolJob.Step[]; workMs: number[][] } => {
  const stepCount = next() < kind.secondStepShare ? 2 : 1;
  const accelerators = kind.accelerators[randoms.integerBelow(next, kind.accelerators.length)] ?? 1;
  const isCheckpointing = next() < kind.checkpointShare;
  const { gangLimit, cpuMillicores, memoryMb } = kind;
  const resources = { cpuMillicores, memoryMb, accelerators };
  const isGang =
    next() < kind.gangShare && accelerators <= (gangLimit?.accelerators ?? accelerators);
  const isSameRack = next() < kind.sameRackShare;
  const steps: poolJob.Step[] = [];
  const workMs: number[][] = [];
  for (let index = 0; index < stepCount; index += 1) {
    const count = Math.max(1, Math.round(drawSize(next, kind.tasks)));
    const stepMs = drawSize(next, kind.workMs);
    const isGangStep = isGang && count > 1 && count <= (gangLimit?.tasks ?? count);
    const eachMs = Array.from({ length: count }, () => stepMs * (0.85 + 0.3 * next()));
    const longestMs = Math.max(...eachMs);
    workMs.push(isGangStep ? eachMs.map(() => longestMs) : eachMs);
    steps.push({
      count,
      resources,
      estimatedMs: Math.round(stepMs * kind.estimateFactor ** (2 * next() - 1)),
      after: index === 0 ? [] : [index - 1],
      isCheckpointing,
      isGang: isGangStep,
      isSameRack: isGangStep && isSameRack && canSameRack(kind, mix, count, resources),
      ...drawDataRack(next, kind, mix),
      maxPerWorker: 0,
      isSpeculative: false,
      isLongRunning: false,
      targetLatencyMs: 0,
      isFiller: false,
    });
  }
  return { steps, workMs };
};

const coreMsOf = (steps: readonly poolJob.Step[], workMs: readonly (readonly number[])[]): number =>
  steps.reduce(
    (sum, { resources }, index) =>
      sum +
      planRound.weightInCores(resources) *
        (workMs[index] ?? []).reduce((total, it) => total + it, 0),
    0,
  );

/** Interval of the burst of jobs of priority 1. */
const GANG_BURST = { fromMs: 10_000, untilMs: 14_000 } as const;

interface Burst {
  readonly fromMs: number;
  readonly untilMs: number;
  readonly times: number;
}

const burstOf = (kind: mixes.JobKind, strain: mixes.Strain): Burst => {
  if (kind.priority === 1) return { ...GANG_BURST, times: strain.gangBurst ?? 1 };
  return { ...BURST, times: kind.priority === 0 ? strain.urgentBurst : 1 };
};

/**
 * @param mix - the user's load
 * @param strain - the scenario applied to it
 * @param seed - determines all random choices
 * @returns the jobs in order of arrival
 */
export const drawWorkload = (mix: mixes.Mix, strain: mixes.Strain, seed: number): Arrival[] => {
  const next = randoms.createRandom(seed);
  const arrivals: Arrival[] = [];
  for (const kind of mix.kinds) {
    const burst = burstOf(kind, strain);
    const peak = Math.max(1, burst.times);
    const gapMs = 1000 / (kind.jobsPerSecond * strain.load * peak);
    for (let atMs = 0; atMs < ARRIVALS_MS;) {
      atMs += -Math.log(1 - next()) * gapMs;
      const isInBurst = atMs >= burst.fromMs && atMs < burst.untilMs;
      const keptShare = (isInBurst ? burst.times : 1) / peak;
      if (atMs >= ARRIVALS_MS || next() >= keptShare) continue;
      const { steps, workMs } = drawSteps(next, kind, mix);
      const jobId = `${kind.name}-${arrivals.length}`;
      arrivals.push({
        atMs,
        kind,
        workMs,
        isPoison: kind.priority === 2 && next() < strain.poisonShare,
        cancelAtMs: next() < kind.cancelShare ? atMs + 500 + 5000 * next() : Infinity,
        coreMs: coreMsOf(steps, workMs),
        job: {
          jobId,
          customerId: `customer-${Math.floor(mix.customers * next() ** 1.5)}`,
          payload: '',
          steps,
          acceptedAtMs: Math.round(atMs),
          policy: {
            queue: kind.name,
            service: 'service',
            priority: kind.priority,
            attempts: kind.attempts,
            stretch: kind.stretch,
            objectiveMs: kind.objectiveMs,
            needsAdvice: false,
          },
        },
      });
    }
  }
  return arrivals.sort((a, b) => a.atMs - b.atMs);
};
