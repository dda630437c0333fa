/**
 * Reads that several commands share: which cells there are, what a cell holds, where a job is.
 */
import * as errors from '../base/common/errors.js';
import type * as job from '../state/common/job.js';
import type * as worker from '../state/common/worker.js';

import * as commandDefinition from './commandDefinition.js';

type Input = commandDefinition.CommandInput;

/** One line of the list of cells. */
export interface CellSummary {
  readonly cell: string;
  readonly region: string;
  readonly leaderId: string;
  readonly epoch: number;
  readonly isLed: boolean;
}

/** A cell as its leader sees it. */
export interface CellView {
  readonly cell: string;
  readonly epoch: number;
  readonly leaderId: string;
  readonly workers: readonly {
    readonly worker: worker.WorkerInfo;
    readonly health: worker.WorkerHealth;
    readonly healthReason: string;
  }[];
  readonly jobs: readonly job.JobRecord[];
  readonly warnings: readonly string[];
}

/** A job with where its record was found. */
export interface FoundJob {
  readonly job: job.JobRecord;
  /** `leader` while the cell's leader has it, `archive` afterwards. */
  readonly source: string;
}

/**
 * @param input - what a command is given
 * @returns all cells
 */
export const cells = async (input: Input): Promise<readonly CellSummary[]> =>
  ((await input.client.get('/api/cells')) as { readonly cells: readonly CellSummary[] }).cells;

/**
 * @param input - what a command is given
 * @returns the cell of `--cell`, or all
 */
export const cellNames = async (input: Input): Promise<readonly string[]> => {
  const given = commandDefinition.textFlag(input, 'cell');
  return given === undefined ? (await cells(input)).map((it) => it.cell) : [given];
};

/**
 * @param input - what a command is given
 * @param cell - availability zone
 * @returns the cell as its leader sees it
 */
export const cellView = async (input: Input, cell: string): Promise<CellView> =>
  (await input.client.get(`/api/cells/${encodeURIComponent(cell)}`)) as CellView;

const isNotFound = (thrown: unknown): boolean => errors.normalize(thrown).kind === 'notFound';

/**
 * Asks the cells one after the other; a cell that does not answer is told only where no other has
 * the job.
 *
 * @param input - what a command is given
 * @param jobId - id of a job
 * @returns the job
 * @throws AuburnliftError `notFound` where no cell has it, or what a cell answered instead
 */
export const findJob = async (input: Input, jobId: string): Promise<FoundJob> => {
  let failure = errors.fail('notFound', `no cell has a job ${jobId}`, { field: 'job' });
  for (const cell of await cellNames(input)) {
    try {
      const path = `/api/jobs/${encodeURIComponent(cell)}/${encodeURIComponent(jobId)}`;
      return (await input.client.get(path)) as FoundJob;
    } catch (thrown) {
      if (!isNotFound(thrown)) failure = errors.normalize(thrown);
    }
  }
  throw failure;
};
