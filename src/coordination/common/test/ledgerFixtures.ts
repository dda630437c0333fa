/**
 * Workers and jobs for tests of the ledger.
 */
import type * as job from '../../../state/common/job.js';
import type * as worker from '../../../state/common/worker.js';
import type * as ledgerAllocations from '../ledgerAllocations.js';

/** Cell and leader epoch of most cases. */
export const OWNER = { cell: 'zone-a', epoch: 1 };

/** Heading of unallocated accelerators. */
export const IDLE: ledgerAllocations.Heading = {
  customerId: '',
  jobId: '',
  attempt: 0,
  reason: 'idle',
  ruleId: '',
  configVersion: 1,
};

/**
 * @param workerId - its id
 * @param accelerators - its capacity
 * @param health - its health, by default ready
 * @returns the worker
 */
export const workerOf = (
  workerId: string,
  accelerators: number,
  health: worker.WorkerHealth = 'ready',
): ledgerAllocations.LedgerWorker => ({ workerId, accelerators, health });

/** Changes to a running guaranteed job of customer `acme`. */
export interface JobChanges {
  readonly customerId?: string;
  readonly claim?: job.Claim;
  readonly ruleId?: string;
  readonly state?: job.JobState;
  readonly stopCause?: job.StopCause;
  readonly startedAtMs?: number;
  readonly decisions?: readonly job.JobDecision[];
}

/**
 * @param jobId - its id
 * @param places - workers with the accelerators allocated there
 * @param changes - changes to a running guaranteed job
 * @returns its record
 */
export const jobOf = (
  jobId: string,
  places: readonly (readonly [string, readonly number[]])[],
  changes: JobChanges = {},
): job.JobRecord => {
  const { customerId = 'acme', claim = 'guaranteed', state = 'running', ...rest } = changes;
  return {
    spec: {
      jobId,
      customerId,
      kind: 'plan',
      cell: 'zone-a',
      claim,
      members: Math.max(1, places.length),
      acceleratorsPerMember: 1,
      adjacency: 'zone',
      declaredRunMs: 1000,
      isCheckpointable: true,
      payload: '',
    },
    state,
    submittedAtMs: 0,
    attempt: 1,
    epoch: 1,
    placement: places.map(([workerId, accelerators], member) => ({
      member,
      workerId,
      accelerators,
    })),
    checkpointMs: 0,
    failures: [],
    decisions: [],
    ...rest,
  };
};
