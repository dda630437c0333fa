/**
 * Fencing tokens of the leader's orders. Each epoch of a leader has a range of them.
 */
import * as agentContract from '../../../state/common/pool/agentContract.js';
import type * as workerTable from './workerTable.js';

/** Fences of one epoch; each time that earlier orders must be refused uses up one step of them. */
export const FENCES_PER_EPOCH = 1_000_000;

/**
 * @param epoch - the leader's epoch
 * @returns the first fence of the epoch, above all of earlier epochs
 */
export const firstFence = (epoch: number): number => epoch * FENCES_PER_EPOCH;

/**
 * @param fence - a fence
 * @returns the epoch of the leader that it belongs to
 */
export const epochOf = (fence: number): number => Math.floor(fence / FENCES_PER_EPOCH);

/** A worker's fence, and what counts towards the next one. */
type FencedWorker = Pick<workerTable.WorkerEntry, 'fence' | 'openMessages'>;

/**
 * Makes the worker refuse every earlier order, once it has received the new fence.
 *
 * @param worker - the worker that the orders were sent to
 */
export const raiseFence = (worker: FencedWorker): void => {
  worker.fence += agentContract.FENCE_STEP;
  worker.openMessages = 0;
};

/** The agent has one value less than a step, and needs some of them for new incarnations of its worker. */
const MAX_OPEN_MESSAGES = agentContract.FENCE_STEP - 3;

/**
 * Counts a message with an unacknowledged start. After it the agent calls its worker under the next value between two
 * fences of the leader (17, then 18, up to 23 where they are 16 and 24); the leader's fence is raised before the agent
 * runs out of values.
 *
 * @param worker - the worker that the start was sent to
 */
export const recordOpenMessage = (worker: FencedWorker): void => {
  worker.openMessages += 1;
  if (worker.openMessages >= MAX_OPEN_MESSAGES) raiseFence(worker);
};
