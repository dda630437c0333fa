/**
 * Messages between an entry and the leader of a cell, on behalf of customers and operators.
 */
import * as Schema from 'effect/Schema';

import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';
import * as worker from '../../state/common/worker.js';
import * as envelope from './envelope.js';

/** Submits a job; the same job id again is the same job. */
export const SubmitRequest = Schema.Struct({ from: envelope.Sender, spec: job.JobSpec });

/** See {@link SubmitRequest}. */
export type SubmitRequest = typeof SubmitRequest.Type;

/** The job as it is kept; it is durable when this is sent. */
export const JobReply = Schema.Struct({ from: envelope.Sender, job: job.JobRecord });

/** See {@link JobReply}. */
export type JobReply = typeof JobReply.Type;

/** Names one job of one cell. */
export const JobRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  jobId: units.CallerKey,
});

/** See {@link JobRequest}. */
export type JobRequest = typeof JobRequest.Type;

/** Cancels jobs, up to a whole wave in one message and one round of store writes. */
export const CancelRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  jobIds: Schema.Array(units.CallerKey).check(Schema.isMaxLength(1000)),
});

/** See {@link CancelRequest}. */
export type CancelRequest = typeof CancelRequest.Type;

/** The jobs as they are kept; unknown ids are left out. */
export const JobsReply = Schema.Struct({
  from: envelope.Sender,
  jobs: Schema.Array(job.JobRecord),
});

/** See {@link JobsReply}. */
export type JobsReply = typeof JobsReply.Type;

/** Asks for a cell. */
export const CellRequest = Schema.Struct({ from: envelope.Sender, cell: units.Id });

/** See {@link CellRequest}. */
export type CellRequest = typeof CellRequest.Type;

/** One worker of a cell as its leader sees it. */
export const WorkerView = Schema.Struct({
  worker: worker.WorkerInfo,
  health: Schema.Literals(['ready', 'unreachable', 'quarantined', 'leaving']),
  healthReason: units.ShortText,
});

/** See {@link WorkerView}. */
export type WorkerView = typeof WorkerView.Type;

/** A whole cell. */
export const CellReply = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  epoch: units.Count,
  leaderId: units.Id,
  workers: Schema.Array(WorkerView),
  jobs: Schema.Array(job.JobRecord),
  /** What is wrong with the cell's guarantees now, for operators. */
  warnings: Schema.Array(units.ShortText),
});

/** See {@link CellReply}. */
export type CellReply = typeof CellReply.Type;

/** Puts a worker into quarantine or takes it out. */
export const QuarantineRequest = Schema.Struct({
  from: envelope.Sender,
  cell: units.Id,
  workerId: units.Id,
  isQuarantined: Schema.Boolean,
  reason: units.ShortText,
});

/** See {@link QuarantineRequest}. */
export type QuarantineRequest = typeof QuarantineRequest.Type;
