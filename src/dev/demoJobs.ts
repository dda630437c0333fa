/**
 * The jobs of the demo: borrowers that fill a cell, a gang over several workers, a guaranteed claim that
 * reclaims borrowed accelerators, and a job that is cancelled.
 */
import type * as configuration from '../state/common/configuration.js';
import type * as job from '../state/common/job.js';

/** The demo's jobs by their role. */
export interface DemoJobs {
  /** Borrow spare accelerators until the cell is full. */
  readonly borrowers: readonly job.JobSpec[];
  readonly gang: job.JobSpec;
  readonly claim: job.JobSpec;
  readonly cancelled: job.JobSpec;
}

const LONG_RUN_MS = 9000;
const GANG_RUN_MS = 2500;
const CLAIM_RUN_MS = 3000;

const specOf = (jobId: string, runMs: number, rest: Partial<job.JobSpec>): job.JobSpec => ({
  jobId,
  customerId: '',
  kind: 'plan',
  cell: '',
  claim: 'spare',
  members: 1,
  acceleratorsPerMember: 4,
  adjacency: 'worker',
  declaredRunMs: runMs * 3,
  isCheckpointable: true,
  payload: JSON.stringify({ runMs }),
  ...rest,
});

const borrowerOf = (document: configuration.ConfigurationDocument, cell: string): string => {
  const rule = document.rules.find((it) => it.cells.length === 0 || it.cells.includes(cell));
  return rule?.customerIds[0] ?? '';
};

/**
 * @param document - the active configuration
 * @returns the jobs; the borrowers and the claim use the cell of its first shape
 */
export const createDemoJobs = (document: configuration.ConfigurationDocument): DemoJobs => {
  const [shape] = document.shapes;
  if (shape === undefined) throw new Error('the demo needs a shape in the configuration');
  const { cell } = shape;
  const otherCell = document.cells.find((it) => it.cell !== cell)?.cell ?? cell;
  const customerId = borrowerOf(document, cell);
  const cellConfiguration = document.cells.find((it) => it.cell === cell);
  const acceleratorsPerWorker = cellConfiguration?.acceleratorsPerWorker ?? 8;
  const total = (cellConfiguration?.workers ?? 1) * acceleratorsPerWorker;
  const halfWorker = Math.max(1, Math.floor(acceleratorsPerWorker / 2));
  const borrowers = Array.from({ length: Math.floor(total / halfWorker) }, (_unused, index) =>
    specOf(`borrow-${index}`, LONG_RUN_MS, { customerId, cell, acceleratorsPerMember: halfWorker }),
  );
  return {
    borrowers,
    gang: specOf('gang-0', GANG_RUN_MS, {
      customerId: borrowerOf(document, otherCell),
      cell: otherCell,
      members: 3,
      acceleratorsPerMember: halfWorker,
      adjacency: 'zone',
    }),
    claim: specOf('claim-0', CLAIM_RUN_MS, {
      customerId: shape.customerId,
      cell,
      claim: 'guaranteed',
      shapeId: shape.shapeId,
      members: Math.max(1, Math.floor(shape.accelerators / acceleratorsPerWorker)),
      acceleratorsPerMember: Math.min(acceleratorsPerWorker, shape.accelerators),
      adjacency: shape.adjacency,
    }),
    cancelled: specOf('cancel-0', LONG_RUN_MS, {
      customerId: borrowerOf(document, otherCell),
      cell: otherCell,
    }),
  };
};
