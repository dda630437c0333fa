/**
 * Validation of a job beyond the schema of its fields.
 *
 * Guards against a job that stops all others: its progress record would exceed a value of the store, or its tasks the
 * memory of the leader.
 */
import * as errors from '../../../base/common/errors.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';

const refuse = (field: string, message: string): never => {
  throw errors.fail('invalidRequest', `${field}: ${message}; nothing ran`, { field });
};

const checkStep = (step: poolJob.Step, index: number): void => {
  for (const before of step.after) {
    if (before >= index) {
      refuse(`steps[${index}].after`, `refers to step ${before}, which is not an earlier step`);
    }
  }
  if (step.isGang && step.isSpeculative) {
    refuse(`steps[${index}]`, 'a gang step can not be speculative');
  }
};

/** The step whose tasks alone are too many, or all of them together. */
const checkTaskCount = (
  steps: readonly poolJob.Step[],
  occurrences: number,
  maxTasks: number,
): void => {
  const limit = `at most ${maxTasks} over all steps and repetitions of a job`;
  steps.forEach(({ count }, index) => {
    if (count > maxTasks) refuse(`steps[${index}].count`, `${count} tasks; ${limit}`);
  });
  const perOccurrence = steps.reduce((sum, { count }) => sum + count, 0);
  const total = perOccurrence * occurrences;
  if (total > maxTasks) refuse('steps', `${total} tasks in ${occurrences} repetitions; ${limit}`);
};

/** What is checked of a job. */
export interface CheckedJob {
  readonly steps: readonly poolJob.Step[];
  readonly schedule: poolJob.Schedule | undefined;
}

/**
 * @param job - a job's steps and schedule
 * @param maxTasks - maximum tasks over all steps and occurrences
 * @throws AuburnliftError `invalidRequest` with the name of the invalid field
 */
export const checkJob = ({ steps, schedule }: CheckedJob, maxTasks: number): void => {
  if (steps.length === 0) refuse('steps', 'at least one step is required');
  if (steps.length > poolJob.MAX_STEPS) refuse('steps', `at most ${poolJob.MAX_STEPS} steps`);
  steps.forEach(checkStep);
  checkTaskCount(steps, schedule?.occurrences ?? 1, maxTasks);
};
