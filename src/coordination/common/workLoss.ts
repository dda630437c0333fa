/**
 * What stopping a borrowed job costs.
 */
import type * as job from '../../state/common/job.js';

/** Work that a checkpointable job loses: it writes a checkpoint in the grace, then starts again. */
export const CHECKPOINT_LOSS_MS = 30_000;

/**
 * @param record - a borrowed job
 * @param nowMs - the time now
 * @returns accelerator-milliseconds lost by stopping it: all since its start, unless it can
 *   checkpoint
 */
export const lossOf = (record: job.JobRecord, nowMs: number): number => {
  const ranMs = Math.max(0, nowMs - (record.startedAtMs ?? nowMs));
  const lostMs = record.spec.isCheckpointable ? Math.min(ranMs, CHECKPOINT_LOSS_MS) : ranMs;
  return lostMs * record.spec.members * record.spec.acceleratorsPerMember;
};
