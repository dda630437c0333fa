/**
 * What a job must be for the pool to take it, beyond the form of its fields.
 */
import * as errors from '../../../base/common/errors.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';

const refuse = (field: string, message: string): never => {
  throw errors.fail('invalidRequest', `${field}: ${message}; nothing ran`, { field });
};

const checkStep = (step: poolJob.Step, index: number): void => {
  for (const before of step.after) {
    if (before >= index) {
      refuse(`steps[${index}].after`, `names step ${before}, which does not come earlier`);
    }
  }
  if (step.isGang && step.isSpeculative) {
    refuse(`steps[${index}]`, 'a gang can not run copies of its tasks');
  }
};

/**
 * @param steps - a job's steps
 * @throws AuburnliftError `invalidRequest` that names the field
 */
export const checkSteps = (steps: readonly poolJob.Step[]): void => {
  if (steps.length === 0) refuse('steps', 'at least one step is needed');
  if (steps.length > poolJob.MAX_STEPS) refuse('steps', `at most ${poolJob.MAX_STEPS} steps`);
  steps.forEach(checkStep);
};
