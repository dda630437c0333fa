/**
 * Estimates the work lost by stopping a borrowing job.
 */
import type * as job from '../../state/common/job.js';

/** Work that a checkpointable job loses by writing a checkpoint in the grace and restarting. */
export const CHECKPOINT_LOSS_MS = 30_000;

/**
 * @param record - a borrowing job
 * @param nowMs - the current time
 * @returns accelerator-milliseconds lost by stopping it: all since its start, unless it can
 *   checkpoint
 */
export const lossOf = (record: job.JobRecord, nowMs: number): number => {
  const ranMs = Math.max(0, nowMs - (record.startedAtMs ?? nowMs));
  const lostMs = record.spec.isCheckpointable ? Math.min(ranMs, CHECKPOINT_LOSS_MS) : ranMs;
  return lostMs * record.spec.members * record.spec.acceleratorsPerMember;
};
