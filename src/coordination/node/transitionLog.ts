/**
 * Logs and counts changes of job states.
 */
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import type * as job from '../../state/common/job.js';

/**
 * @param log - the process log
 * @param metricsRegistry - the process's metrics
 * @returns a function that is called with a job before and after an event
 */
export const createTransitionLog =
  (log: logging.Log, metricsRegistry: metrics.Metrics) =>
  (before: job.JobRecord, after: job.JobRecord): void => {
    if (before.state === after.state) return;
    const { spec, attempt } = after;
    log('info', 'jobChanged', { jobId: spec.jobId, from: before.state, to: after.state, attempt });
    metricsRegistry.count('auburnlift_job_transitions_total', { to: after.state });
  };
