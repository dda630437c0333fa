/**
 * Which workers a cell has, kept in the store so that a new leader also knows of those that it can't
 * reach: their tasks may still run.
 */
import * as Schema from 'effect/Schema';

import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as worker from '../../state/common/worker.js';

const Inventory = Schema.Struct({ workers: Schema.Array(worker.WorkerInfo) });

/** The inventory of one cell. */
export interface WorkerInventory {
  readonly load: () => Promise<readonly worker.WorkerInfo[]>;
  /** @returns whether the worker is new or has changed, so that saving is due */
  readonly remember: (info: worker.WorkerInfo) => boolean;
  /** Writes once, whatever was remembered meanwhile. */
  readonly save: () => Promise<void>;
}

/**
 * @param target - the store
 * @param cell - availability zone
 * @returns an inventory that has read nothing yet
 */
export const createWorkerInventory = (target: store.Store, cell: string): WorkerInventory => {
  const key = storeKeys.workersKey(cell);
  const known = new Map<string, worker.WorkerInfo>();
  let saving: Promise<void> | undefined;
  const write = async (): Promise<void> => {
    // One turn of the loop lets workers that register together share a write.
    await Promise.resolve();
    saving = undefined;
    const current = await target.get(key);
    const value = JSON.stringify({ workers: [...known.values()] });
    await target.compareAndSwap({ key, expectedRevision: current?.revision ?? 0, value });
  };
  return {
    load: async () => {
      const entry = await target.get(key);
      if (entry === undefined) return [];
      const { workers } = schemaIssues.decodeOrFail(
        Inventory,
        JSON.parse(entry.value),
        'worker inventory',
      );
      workers.forEach((it) => known.set(it.workerId, it));
      return workers;
    },
    remember: (info) => {
      const isSame = JSON.stringify(known.get(info.workerId)) === JSON.stringify(info);
      if (!isSame) known.set(info.workerId, info);
      return !isSame;
    },
    save: () => {
      saving ??= write();
      return saving;
    },
  };
};
