/**
 * Queries shared by several commands: the list of cells, the state of a cell, the cell of a job.
 */
import * as errors from '../base/common/errors.js';
import type * as job from '../state/common/job.js';
import type * as worker from '../state/common/worker.js';

import * as commandDefinition from './commandDefinition.js';

type Input = commandDefinition.CommandInput;

/** One entry of the list of cells. */
export interface CellSummary {
  readonly cell: string;
  readonly region: string;
  readonly leaderId: string;
  readonly epoch: number;
  readonly isLed: boolean;
}

/** The state of a cell as reported by its leader. */
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

/** A job record with its source. */
export interface FoundJob {
  readonly job: job.JobRecord;
  /** `leader` while the cell's leader has the record, `archive` afterwards. */
  readonly source: string;
}

/**
 * @param input - input of the command
 * @returns all cells
 */
export const cells = async (input: Input): Promise<readonly CellSummary[]> =>
  ((await input.client.get('/api/cells')) as { readonly cells: readonly CellSummary[] }).cells;

/**
 * @param input - input of the command
 * @returns the cell of `--cell`, or all
 */
export const cellNames = async (input: Input): Promise<readonly string[]> => {
  const given = commandDefinition.textFlag(input, 'cell');
  return given === undefined ? (await cells(input)).map((it) => it.cell) : [given];
};

/**
 * @param input - input of the command
 * @param cell - availability zone
 * @returns the state of the cell as reported by its leader
 */
export const cellView = async (input: Input, cell: string): Promise<CellView> =>
  (await input.client.get(`/api/cells/${encodeURIComponent(cell)}`)) as CellView;

const isNotFound = (thrown: unknown): boolean => errors.normalize(thrown).kind === 'notFound';

/**
 * Queries the cells one after the other. The failure of a cell is reported only if no other cell
 * has the job.
 *
 * @param input - input of the command
 * @param jobId - id of a job
 * @returns the job
 * @throws AuburnliftError `notFound` if no cell has it, or the last other error of a cell
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
