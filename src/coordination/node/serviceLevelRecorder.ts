/**
 * Persists a process's counts for service-level objectives in the store, and reads the counts of
 * all processes.
 *
 * A process writes at most one record a minute, and lists and deletes once an hour. Guards against
 * a process that restarts under its old id: each run has its own record and so a single writer,
 * which makes it safe to rewrite the record after a lost reply. The last minute of a killed
 * process is lost, as documented for operators.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as serviceLevel from '../../state/common/serviceLevel.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';
import * as serviceLevelCounters from '../common/serviceLevelCounters.js';

/** Options of {@link createServiceLevelRecorder}. */
export interface ServiceLevelRecorderOptions {
  /** Id of this run of the process. */
  readonly writerId: string;
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
}

/** Records the counts of one process. */
export interface ServiceLevelRecorder extends disposable.Disposable {
  readonly note: (verdicts: readonly serviceLevelCounters.ObjectiveResult[]) => void;
  readonly flush: () => Promise<void>;
}

const WRITE_PERIOD_MS = 60_000;

/** No process still writes an hour that ended this many hours ago. */
const FINAL_AFTER_HOURS = 2;

/** Expired hours checked for records left by processes that no longer run. */
const CLEANUP_SPAN_HOURS = 3;

/**
 * @param options - options
 * @returns a recorder without counts
 */
export const createServiceLevelRecorder = (
  options: ServiceLevelRecorderOptions,
): ServiceLevelRecorder => {
  const { store: target, clock: timeSource, writerId } = options;
  let counts: serviceLevelCounters.Counts = new Map();
  const revisions = new Map<number, number>();
  const dirty = new Set<number>();
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  let writing: Promise<void> = Promise.resolve();
  let cleanedHour = 0;

  const write = async (hour: number): Promise<void> => {
    const key = storeKeys.serviceLevelKey(hour, writerId);
    const objectives = [...(counts.get(hour)?.values() ?? [])];
    const value = JSON.stringify({ hour, objectives });
    const swap = (expectedRevision: number): Promise<store.SwapResult> =>
      target.compareAndSwap({ key, expectedRevision, value });
    const first = await swap(revisions.get(hour) ?? store.ABSENT_REVISION);
    // A conflict can only come from an earlier write of this run whose reply was lost.
    const result = first.isSwapped
      ? first
      : await swap(first.current?.revision ?? store.ABSENT_REVISION);
    if (!result.isSwapped) throw errors.fail('conflict', `${key} was written by another process`);
    revisions.set(hour, result.revision);
  };
  const deleteOld = async (): Promise<void> => {
    const hour = serviceLevelCounters.hourOf(timeSource.wallMs());
    if (hour === cleanedHour) return;
    const first = hour - serviceLevel.RETAINED_HOURS;
    for (let old = first; old > first - CLEANUP_SPAN_HOURS; old -= 1) {
      const { entries } = await target.list(storeKeys.serviceLevelPrefix(old));
      for (const { key, revision } of entries) {
        await target.compareAndSwap({ key, expectedRevision: revision, value: null });
      }
    }
    cleanedHour = hour;
  };
  const dropOldCounts = (): void => {
    const oldest = serviceLevelCounters.hourOf(timeSource.wallMs()) - FINAL_AFTER_HOURS;
    counts = new Map([...counts].filter(([hour]) => hour >= oldest || dirty.has(hour)));
    for (const hour of revisions.keys()) if (!counts.has(hour)) revisions.delete(hour);
  };
  const writeAll = async (): Promise<void> => {
    for (const hour of [...dirty].sort((a, b) => a - b)) {
      // Cleared before the write, since an event during the write marks the hour dirty again.
      dirty.delete(hour);
      try {
        await write(hour);
      } catch (thrown) {
        dirty.add(hour);
        throw thrown;
      }
    }
    dropOldCounts();
    await deleteOld();
  };
  const flush = (): Promise<void> => {
    writing = writing.then(writeAll, writeAll);
    return writing;
  };
  const schedule = (): void => {
    if (timer !== undefined || isDisposed) return;
    timer = timeSource.after(WRITE_PERIOD_MS, () => {
      flush()
        .catch((thrown: unknown) => {
          const reason = errors.normalize(thrown).message;
          options.log('warn', 'serviceLevelsNotWritten', { reason });
        })
        .finally(() => {
          timer = undefined;
          if (dirty.size > 0) schedule();
        });
    });
  };
  return {
    note: (verdicts) => {
      if (verdicts.length === 0) return;
      const atMs = timeSource.wallMs();
      counts = serviceLevelCounters.add(counts, verdicts, atMs);
      dirty.add(serviceLevelCounters.hourOf(atMs));
      schedule();
    },
    flush,
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  };
};

/** Reads the counts of all processes. */
export type ServiceLevelReader = (
  nowMs: number,
) => Promise<readonly serviceLevel.ServiceLevelHour[]>;

/**
 * Hours that no process still writes are cached, so the first report costs one listing for each
 * retained hour and later reports cost three.
 *
 * @param target - the store
 * @returns the reader
 */
export const createServiceLevelReader = (target: store.Store): ServiceLevelReader => {
  const cachedHours = new Map<number, readonly serviceLevel.ServiceLevelHour[]>();
  const readHour = async (hour: number): Promise<readonly serviceLevel.ServiceLevelHour[]> => {
    const { entries } = await target.list(storeKeys.serviceLevelPrefix(hour));
    return entries.map((it) =>
      schemaIssues.decodeOrFail(
        serviceLevel.ServiceLevelHour,
        JSON.parse(it.value),
        'service levels',
      ),
    );
  };
  return async (nowMs) => {
    const current = serviceLevelCounters.hourOf(nowMs);
    const first = current - serviceLevel.RETAINED_HOURS + 1;
    for (const hour of cachedHours.keys()) if (hour < first) cachedHours.delete(hour);
    const found: serviceLevel.ServiceLevelHour[] = [];
    for (let hour = first; hour <= current; hour += 1) {
      const records = cachedHours.get(hour) ?? (await readHour(hour));
      if (hour < current - FINAL_AFTER_HOURS) cachedHours.set(hour, records);
      found.push(...records);
    }
    return found;
  };
};
