/**
 * Handles customers' requests to a cell's leader: submit, cancel and show.
 */
import * as errors from '../../base/common/errors.js';
import type * as job from '../../state/common/job.js';
import * as store from '../../state/common/store.js';
import * as jobStateMachine from '../common/jobStateMachine.js';
import * as jobSegments from '../common/jobSegments.js';

import type * as commitQueue from './commitQueue.js';

/** Options of {@link createJobRequestHandler}. */
export interface JobRequestHandlerOptions {
  readonly cell: string;
  /** The jobs of the cell; accepted jobs are added. */
  readonly runtimes: Map<string, jobStateMachine.JobRuntime>;
  readonly commits: commitQueue.CommitQueue;
  readonly context: () => jobStateMachine.JobContext;
  readonly dispatch: (jobId: string, event: jobStateMachine.JobEvent) => void;
  readonly onDidAccept: () => void;
}

/** Handles requests for the jobs of one cell. */
export interface JobRequestHandler {
  readonly submit: (spec: job.JobSpec) => Promise<job.JobRecord>;
  readonly cancel: (jobIds: readonly string[]) => Promise<readonly job.JobRecord[]>;
  readonly show: (jobId: string) => job.JobRecord;
}

/**
 * @param options - options
 * @returns the handler
 */
export const createJobRequestHandler = (options: JobRequestHandlerOptions): JobRequestHandler => {
  const { cell, runtimes, commits, context } = options;
  const show = (jobId: string): job.JobRecord => {
    const record = runtimes.get(jobId)?.record;
    if (record === undefined) {
      throw errors.fail('notFound', `no job ${jobId} in cell ${cell}`, { field: 'jobId' });
    }
    return record;
  };
  const assertCapacity = (accepted: job.JobRecord): void => {
    const segment = jobSegments.segmentOf(accepted.spec.jobId);
    const segmentJobs = [...runtimes.values()]
      .map((it) => it.record)
      .filter((it) => jobSegments.segmentOf(it.spec.jobId) === segment);
    if (jobSegments.hasCapacity(segmentJobs, accepted)) return;
    throw errors.fail('overloaded', `cell ${cell} stores too many jobs; nothing ran`, {
      retryAfterMs: 60_000,
    });
  };
  const checkSpec = (known: job.JobRecord, spec: job.JobSpec): job.JobRecord => {
    if (JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    throw errors.fail('conflict', `job ${spec.jobId} exists with a different spec`, {
      field: 'jobId',
    });
  };
  return {
    show,
    submit: async (spec) => {
      const known = runtimes.get(spec.jobId);
      if (known !== undefined && !commits.isDirty(spec.jobId)) return checkSpec(known.record, spec);
      if (known === undefined) {
        const accepted = jobStateMachine.accept(spec, context());
        assertCapacity(accepted.record);
        runtimes.set(spec.jobId, accepted);
      } else checkSpec(known.record, spec);
      try {
        await commits.commit(spec.jobId);
      } catch (thrown) {
        if (known !== undefined || thrown instanceof store.StoreOutcomeUnknown) {
          throw errors.fail('outcomeUnknown', 'submit the same job id again to get the outcome');
        }
        runtimes.delete(spec.jobId);
        throw thrown;
      }
      options.onDidAccept();
      return show(spec.jobId);
    },
    cancel: async (jobIds) => {
      const known = jobIds.filter((it) => runtimes.has(it));
      known.forEach((it) => options.dispatch(it, { type: 'cancel' }));
      try {
        await Promise.all(known.map((it) => commits.commit(it)));
      } catch {
        throw errors.fail('outcomeUnknown', 'the cancellation may not be durable yet; repeat it');
      }
      return known.map(show);
    },
  };
};
