/**
 * What the capacity alone allows: a greedy schedule with all arrivals, durations and failures known in advance.
 *
 * It relaxes the problem: the fleet is one worker of the summed capacity, so nothing is fragmented or remote; no
 * run is stopped, fails or loses its worker; a planning round takes no time. It is greedy, by value per capacity
 * and time, and so not a strict upper bound.
 */
import * as jobChain from '../../coordination/common/pool/jobChain.js';
import * as jobOutcome from '../../coordination/common/pool/jobOutcome.js';
import type * as mixes from './mixes.js';
import * as outcomes from './outcomes.js';
import type * as poolReplay from './poolReplay.js';
import type * as workload from './workload.js';

/** Resolution of the schedule. */
const SLOT_MS = 100;

/** Shares of the fleet's cores, memory and accelerators. */
type Shares = readonly [cpu: number, memory: number, accelerators: number];

interface Part {
  readonly shares: Shares;
  readonly slots: number;
}

/** A job as its steps, one after the other, each with all its tasks at once. */
interface PlannedJob {
  readonly arrival: workload.Arrival;
  readonly parts: readonly Part[];
  readonly objectiveMs: number;
  /** Value per share of the fleet and slot. */
  readonly density: number;
}

const sharesOf = (mix: mixes.Mix, arrival: workload.Arrival, step: number): Shares => {
  const { count = 0, resources } = arrival.job.steps[step] ?? {};
  const { capacity, workers } = mix;
  const shareOf = (wanted = 0, offered = 1): number => (count * wanted) / (workers * offered);
  return [
    shareOf(resources?.cpuMillicores, capacity.cpuMillicores),
    shareOf(resources?.memoryMb, capacity.memoryMb),
    shareOf(resources?.accelerators, capacity.accelerators),
  ];
};

const planJob = (mix: mixes.Mix, arrival: workload.Arrival, owed: number): PlannedJob => {
  const longestMs = arrival.workMs.map((each) => Math.max(...each));
  const parts = longestMs.map((workMs, step) => ({
    shares: sharesOf(mix, arrival, step),
    slots: Math.max(1, Math.ceil(workMs / SLOT_MS)),
  }));
  const size = parts.reduce((sum, it) => sum + Math.max(...it.shares) * it.slots, 0);
  const chainMs = outcomes.owedChainMs(arrival, mix);
  return {
    arrival,
    parts,
    objectiveMs: jobChain.objectiveMs(arrival.job, chainMs),
    density: owed / size,
  };
};

/** Used shares of the fleet by slot. */
const createProfile = () => {
  const used: [number, number, number][] = [];
  const at = (slot: number): [number, number, number] => {
    const row = used[slot] ?? [0, 0, 0];
    used[slot] = row;
    return row;
  };
  const isFree = ({ shares, slots }: Part, from: number): boolean => {
    for (let slot = from; slot < from + slots; slot += 1) {
      if (shares.some((share, index) => share + (at(slot)[index] ?? 0) > 1)) return false;
    }
    return true;
  };
  return {
    firstFree: (part: Part, from: number, lastFrom: number): number | undefined => {
      for (let slot = from; slot <= lastFrom; slot += 1) if (isFree(part, slot)) return slot;
      return undefined;
    },
    take: ({ shares, slots }: Part, from: number): void => {
      for (let slot = from; slot < from + slots; slot += 1) {
        const row = at(slot);
        shares.forEach((share, index) => {
          row[index] = (row[index] ?? 0) + share;
        });
      }
    },
  };
};

type Profile = ReturnType<typeof createProfile>;

/** @returns the end of the job in milliseconds, or undefined where it does not fit in time */
const schedule = (job: PlannedJob, profile: Profile, limitMs: number): number | undefined => {
  const arrivalSlot = Math.ceil(job.arrival.atMs / SLOT_MS);
  const lastSlot = Math.floor((job.arrival.atMs + limitMs) / SLOT_MS);
  const starts: number[] = [];
  let from = arrivalSlot;
  for (const part of job.parts) {
    const start = profile.firstFree(part, from, lastSlot - part.slots);
    if (start === undefined) return undefined;
    starts.push(start);
    from = start + part.slots;
  }
  job.parts.forEach((part, index) => profile.take(part, starts[index] ?? 0));
  return from * SLOT_MS;
};

/**
 * @param mix - the user's load
 * @param arrivals - the jobs of the load
 * @returns when the jobs would have ended
 */
export const greedyBound = (
  mix: mixes.Mix,
  arrivals: readonly workload.Arrival[],
): poolReplay.ReplayResult => {
  const profile = createProfile();
  const ends = new Map<string, number>();
  const wanted = arrivals.filter((it) => !it.isPoison && it.cancelAtMs === Infinity);
  const owed = outcomes.owedOf(mix, wanted);
  const jobs = wanted
    .map((arrival) => planJob(mix, arrival, owed.get(arrival.job.jobId) ?? 0))
    .sort((a, b) => b.density - a.density);
  for (const lateness of [1, jobOutcome.LATE_MULTIPLE]) {
    for (const job of jobs) {
      const { jobId } = job.arrival.job;
      const endMs = ends.has(jobId)
        ? undefined
        : schedule(job, profile, lateness * job.objectiveMs);
      if (endMs !== undefined) ends.set(jobId, endMs);
    }
  }
  return {
    jobs: arrivals.map((arrival) => {
      const endMs = ends.get(arrival.job.jobId);
      const isCancelled = arrival.cancelAtMs !== Infinity;
      if (arrival.isPoison) return { arrival, state: 'failed', durationMs: 0 };
      if (endMs === undefined) {
        return { arrival, state: isCancelled ? 'cancelled' : 'queued', durationMs: Infinity };
      }
      return { arrival, state: 'complete', durationMs: endMs - arrival.atMs };
    }),
    wastedCoreMs: 0,
    usedCoreMs: 0,
  };
};
