/**
 * Validation of a job's steps beyond the schema of its fields.
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

/**
 * @param steps - a job's steps
 * @throws AuburnliftError `invalidRequest` with the name of the invalid field
 */
export const checkSteps = (steps: readonly poolJob.Step[]): void => {
  if (steps.length === 0) refuse('steps', 'at least one step is required');
  if (steps.length > poolJob.MAX_STEPS) refuse('steps', `at most ${poolJob.MAX_STEPS} steps`);
  steps.forEach(checkStep);
};
