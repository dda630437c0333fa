/**
 * List of a cell's workers in the store, so that a new leader also knows of unreachable workers,
 * whose tasks may still run.
 *
 * Guards against a previous leader that writes an older list: a write retains every worker that is
 * already in the store.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as worker from '../../state/common/worker.js';

const Inventory = Schema.Struct({ workers: Schema.Array(worker.WorkerInfo) });

/** The inventory of one cell. */
export interface WorkerInventory {
  readonly load: () => Promise<readonly worker.WorkerInfo[]>;
  /** @returns whether the worker is new or has changed, and must be saved */
  readonly record: (info: worker.WorkerInfo) => boolean;
  /** Writes all recorded workers; concurrent calls share one write. */
  readonly save: () => Promise<void>;
  /** Whether a recorded worker is not saved yet and no write is pending. */
  readonly hasUnsavedWorkers: () => boolean;
  /** The set of workers last confirmed in the store, then each set that may have replaced it. */
  readonly possibleWorkerSets: () => readonly ReadonlySet<string>[];
}

const decode = (entry: store.StoreEntry): readonly worker.WorkerInfo[] =>
  schemaIssues.decodeOrFail(Inventory, JSON.parse(entry.value), 'worker inventory').workers;

/** Attempts of one save if others write concurrently. */
const MAX_SAVE_ATTEMPTS = 3;

/**
 * @param target - the store
 * @param cell - availability zone
 * @returns an inventory that has read nothing yet
 */
export const createWorkerInventory = (target: store.Store, cell: string): WorkerInventory => {
  const key = storeKeys.workersKey(cell);
  const known = new Map<string, worker.WorkerInfo>();
  let confirmedSet: ReadonlySet<string> = new Set();
  let unconfirmedSets: readonly ReadonlySet<string>[] = [];
  let hasUnsaved = false;
  let saving: Promise<void> | undefined;
  let writing: Promise<void> = Promise.resolve();

  const tryWrite = async (): Promise<boolean> => {
    const current = await target.get(key);
    const kept = current === undefined ? [] : decode(current);
    const all = new Map([...kept, ...known.values()].map((it) => [it.workerId, it]));
    const ids = new Set(all.keys());
    unconfirmedSets = [...unconfirmedSets, ids];
    const value = JSON.stringify({ workers: [...all.values()] });
    const expectedRevision = current?.revision ?? 0;
    const { isSwapped } = await target.compareAndSwap({ key, expectedRevision, value });
    if (!isSwapped) return false;
    confirmedSet = ids;
    hasUnsaved = [...known.keys()].some((it) => !ids.has(it));
    unconfirmedSets = [];
    return true;
  };
  const write = async (): Promise<void> => {
    // Waits one microtask, so that workers that register concurrently share a write.
    await Promise.resolve();
    saving = undefined;
    hasUnsaved = true;
    for (let attempt = 0; attempt < MAX_SAVE_ATTEMPTS; attempt += 1) {
      if (await tryWrite()) return;
    }
    throw errors.fail('conflict', 'other processes keep writing the worker inventory');
  };
  return {
    load: async () => {
      const entry = await target.get(key);
      if (entry === undefined) return [];
      const workers = decode(entry);
      workers.forEach((it) => known.set(it.workerId, it));
      confirmedSet = new Set(known.keys());
      return workers;
    },
    record: (info) => {
      const isSame = JSON.stringify(known.get(info.workerId)) === JSON.stringify(info);
      if (!isSame) known.set(info.workerId, info);
      return !isSame;
    },
    save: () => {
      if (saving === undefined) {
        writing = writing.catch(() => undefined).then(write);
        saving = writing;
      }
      return saving;
    },
    hasUnsavedWorkers: () => hasUnsaved && saving === undefined,
    possibleWorkerSets: () => [confirmedSet, ...unconfirmedSets],
  };
};
