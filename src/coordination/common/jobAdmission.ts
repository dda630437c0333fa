/**
 * Checks whether a job can be accepted under the active configuration.
 */
import * as errors from '../../base/common/errors.js';
import type * as configuration from '../../state/common/configuration.js';
import * as job from '../../state/common/job.js';

import * as guaranteeCheck from './guaranteeCheck.js';

const refuse = (field: string, message: string): errors.AuburnliftError =>
  errors.fail('invalidRequest', `${field}: ${message}; nothing ran`, { field });

const unrunnable = (field: string, message: string): errors.AuburnliftError =>
  errors.fail('unrunnable', `${field}: ${message}; nothing ran`, { field });

const checkCapacity = (
  spec: job.JobSpec,
  cell: configuration.Cell,
): errors.AuburnliftError | undefined => {
  if (spec.acceleratorsPerMember > cell.acceleratorsPerWorker) {
    return unrunnable(
      'acceleratorsPerMember',
      `no worker of ${cell.cell} has more than ${cell.acceleratorsPerWorker} accelerators`,
    );
  }
  const membersPerWorker = Math.floor(cell.acceleratorsPerWorker / spec.acceleratorsPerMember);
  const workersWithin = {
    worker: 1,
    rack: Math.min(cell.workersPerRack, cell.workers),
    zone: cell.workers,
  };
  const most = membersPerWorker * workersWithin[spec.adjacency];
  if (spec.members > most) {
    return unrunnable(
      'members',
      `${cell.cell} fits at most ${most} such members in one ${spec.adjacency}`,
    );
  }
  return undefined;
};

const checkClaim = (
  spec: job.JobSpec,
  document: configuration.ConfigurationDocument,
  cell: configuration.Cell,
): errors.AuburnliftError | undefined => {
  if (spec.claim === job.Claim.spare) {
    return spec.shapeId === undefined
      ? undefined
      : refuse('shapeId', 'a job that borrows spare accelerators names no shape');
  }
  const shape = document.shapes.find((it) => it.shapeId === spec.shapeId);
  if (shape?.customerId !== spec.customerId) {
    return refuse('shapeId', `${spec.customerId} has no shape ${spec.shapeId ?? '(none)'}`);
  }
  if (shape.cell !== spec.cell) return refuse('cell', `the shape belongs to cell ${shape.cell}`);
  if (job.acceleratorsOf({ spec }) > shape.accelerators) {
    return refuse('members', `the shape has ${shape.accelerators} accelerators`);
  }
  const perWorker = cell.acceleratorsPerWorker;
  if (!guaranteeCheck.fitsShape(spec, shape, perWorker)) {
    const { wholes, remainder } = guaranteeCheck.canonicalForm(shape.accelerators, perWorker);
    return refuse(
      'members',
      `the shape guarantees ${wholes} complete workers and ${remainder} accelerators on one more ` +
        `in one ${shape.adjacency}; the members don't fit that`,
    );
  }
  return undefined;
};

/**
 * @param spec - the job that a customer submits
 * @param document - the active configuration
 * @returns an error that names the invalid field; undefined where the job can be accepted
 */
export const checkSpec = (
  spec: job.JobSpec,
  document: configuration.ConfigurationDocument,
): errors.AuburnliftError | undefined => {
  const customer = document.customers.find((it) => it.customerId === spec.customerId);
  if (customer === undefined) return refuse('customerId', `no customer ${spec.customerId}`);
  const cell = document.cells.find((it) => it.cell === spec.cell);
  if (cell === undefined) return refuse('cell', `no cell ${spec.cell}`);
  if (job.acceleratorsOf({ spec }) > customer.quotaAccelerators) {
    return unrunnable('members', `the quota is ${customer.quotaAccelerators} accelerators`);
  }
  return checkClaim(spec, document, cell) ?? checkCapacity(spec, cell);
};
