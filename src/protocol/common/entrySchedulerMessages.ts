/**
 * Messages between an entry and the leader of a cell, on behalf of customers and operators.
 */
import * as Schema from 'effect/Schema';

import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';
import * as worker from '../../state/common/worker.js';
import * as envelope from './envelope.js';

/** Submits a job; idempotent by job id. */
export const SubmitRequest = Schema.Struct({ from: envelope.Sender, spec: job.JobSpec });

/** See {@link SubmitRequest}. */
export type SubmitRequest = typeof SubmitRequest.Type;

/** The job as stored; it is durable when this reply is sent. */
export const JobReply = Schema.Struct({ from: envelope.Sender, job: job.JobRecord });

/** See {@link JobReply}. */
export type JobReply = typeof JobReply.Type;

/** Identifies one job of one cell. */
export const JobRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  jobId: units.CallerKey,
});

/** See {@link JobRequest}. */
export type JobRequest = typeof JobRequest.Type;

/** Cancels jobs: a burst of cancellations takes one message and one round of store writes. */
export const CancelRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  jobIds: Schema.Array(units.CallerKey).check(Schema.isMaxLength(1000)),
});

/** See {@link CancelRequest}. */
export type CancelRequest = typeof CancelRequest.Type;

/** The jobs as stored; unknown ids are left out. */
export const JobsReply = Schema.Struct({
  from: envelope.Sender,
  jobs: Schema.Array(job.JobRecord),
});

/** See {@link JobsReply}. */
export type JobsReply = typeof JobsReply.Type;

/** Requests the state of a cell. */
export const CellRequest = Schema.Struct({ from: envelope.Sender, cell: units.Id });

/** See {@link CellRequest}. */
export type CellRequest = typeof CellRequest.Type;

/** Status of one worker of a cell, as known to its leader. */
export const WorkerStatus = Schema.Struct({
  worker: worker.WorkerInfo,
  health: Schema.Literals(['ready', 'unreachable', 'quarantined', 'leaving']),
  healthReason: units.ShortText,
});

/** See {@link WorkerStatus}. */
export type WorkerStatus = typeof WorkerStatus.Type;

/** State of a cell. */
export const CellReply = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  epoch: units.Count,
  leaderId: units.Id,
  workers: Schema.Array(WorkerStatus),
  jobs: Schema.Array(job.JobRecord),
  /** Current problems with the cell's guarantees, for operators. */
  warnings: Schema.Array(units.ShortText),
});

/** See {@link CellReply}. */
export type CellReply = typeof CellReply.Type;

/** Quarantines a worker or releases it. */
export const QuarantineRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  workerId: units.Id,
  isQuarantined: Schema.Boolean,
  reason: units.ShortText,
});

/** See {@link QuarantineRequest}. */
export type QuarantineRequest = typeof QuarantineRequest.Type;
