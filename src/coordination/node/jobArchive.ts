/**
 * Archives ended jobs with their decisions for {@link RETENTION_DAYS} days, after the cell's
 * segments have dropped them, so that `explain` still finds them.
 *
 * A day consists of a few parts of limited size, written at most once a minute. Guards against a
 * leader that dies before a write: the segments retain a cell's latest 512 ended jobs, and the next
 * leader adds the jobs of the last day again; a job that is already archived is replaced.
 */
import * as Schema from 'effect/Schema';

import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import type * as metrics from '../../base/common/metrics.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as job from '../../state/common/job.js';
import * as store from '../../state/common/store.js';
import * as storeKeys from '../../state/common/storeKeys.js';

/** Retention of ended jobs, in days. */
export const RETENTION_DAYS = 30;

/** Maximum parts of a day. With 132 jobs a day and cell and 4 kB a job, one or two are used. */
export const MAX_PARTS = 8;

/** Maximum size of a part, well below the store's limit of one megabyte. */
const MAX_PART_BYTES = 524_288;

const WRITE_PERIOD_MS = 60_000;
const DAY_MS = 86_400_000;

/** Number of expired days checked for deletion, in case no leader ran on the day of expiry. */
const CLEANUP_SPAN_DAYS = 5;

const ArchivePart = Schema.Struct({ jobs: Schema.Array(job.JobRecord) });

/** Options of {@link createJobArchive}. */
export interface JobArchiveOptions {
  readonly cell: string;
  readonly store: store.Store;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
}

/** Archive of one cell, written by its leader. */
export interface JobArchive extends disposable.Disposable {
  /** Adds an ended job; it is written within a minute. */
  readonly add: (record: job.JobRecord) => void;
  /** Adds jobs that ended within the last day, as the previous leader may not have written them. */
  readonly addRecent: (records: readonly job.JobRecord[]) => void;
  readonly flush: () => Promise<void>;
}

interface Part {
  readonly revision: number;
  readonly jobs: readonly job.JobRecord[];
}

const dayOf = (atMs: number): number => Math.floor(atMs / DAY_MS);

const readPart = async (
  target: store.Store,
  cell: string,
  day: number,
  part: number,
): Promise<Part | undefined> => {
  const entry = await target.get(storeKeys.jobArchiveKey(cell, day, part));
  if (entry === undefined) return undefined;
  const parsed = JSON.parse(entry.value) as unknown;
  const { jobs } = schemaIssues.decodeOrFail(ArchivePart, parsed, 'job archive');
  return { revision: entry.revision, jobs };
};

const readDay = async (
  target: store.Store,
  cell: string,
  day: number,
): Promise<readonly Part[]> => {
  const parts: Part[] = [];
  for (let part = 0; part < MAX_PARTS; part += 1) {
    const found = await readPart(target, cell, day, part);
    if (found === undefined) break;
    parts.push(found);
  }
  return parts;
};

/**
 * @param target - the store
 * @param cell - availability zone
 * @param jobId - id of a job
 * @param nowMs - wall time
 * @returns the job's last record, searched from the latest day backwards
 */
export const findArchivedJob = async (
  target: store.Store,
  cell: string,
  jobId: string,
  nowMs: number,
): Promise<job.JobRecord | undefined> => {
  const today = dayOf(nowMs);
  for (let day = today; day >= today - RETENTION_DAYS; day -= 1) {
    const parts = await readDay(target, cell, day);
    const found = parts.flatMap((it) => it.jobs).find((it) => it.spec.jobId === jobId);
    if (found !== undefined) return found;
  }
  return undefined;
};

const bytesOf = (jobs: readonly job.JobRecord[]): number =>
  Buffer.byteLength(JSON.stringify({ jobs }));

/** Replaces the job if it is already archived, else adds it to the last part or to a new one. */
const replaceOrAppend = (
  parts: readonly (readonly job.JobRecord[])[],
  record: job.JobRecord,
): readonly (readonly job.JobRecord[])[] | undefined => {
  const { jobId } = record.spec;
  const existingIndex = parts.findIndex((part) => part.some((it) => it.spec.jobId === jobId));
  if (existingIndex >= 0) {
    return parts.map((part, index) =>
      index === existingIndex ? part.map((it) => (it.spec.jobId === jobId ? record : it)) : part,
    );
  }
  const last = parts.at(-1) ?? [];
  const joined = [...last, record];
  if (parts.length > 0 && bytesOf(joined) <= MAX_PART_BYTES) return [...parts.slice(0, -1), joined];
  return parts.length < MAX_PARTS ? [...parts, [record]] : undefined;
};

/**
 * @param options - options
 * @returns an archive that writes every minute while jobs are pending
 */
export const createJobArchive = (options: JobArchiveOptions): JobArchive => {
  const { cell, store: target } = options;
  let pendingJobs: job.JobRecord[] = [];
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  let cleanedDay = 0;
  let writing: Promise<void> = Promise.resolve();

  const writePart = async (
    day: number,
    part: number,
    jobs: readonly job.JobRecord[],
    expectedRevision: number,
  ): Promise<void> => {
    const key = storeKeys.jobArchiveKey(cell, day, part);
    const value = JSON.stringify({ jobs });
    const result = await target.compareAndSwap({ key, expectedRevision, value });
    if (!result.isSwapped) throw errors.fail('conflict', `${key} was written by another leader`);
  };
  const writeDay = async (day: number, records: readonly job.JobRecord[]): Promise<void> => {
    const before = await readDay(target, cell, day);
    let parts: readonly (readonly job.JobRecord[])[] = before.map((it) => it.jobs);
    for (const record of records) {
      const placed = replaceOrAppend(parts, record);
      if (placed === undefined) {
        options.log('error', 'jobNotArchived', { cell, jobId: record.spec.jobId, day });
        options.metrics.count('auburnlift_job_archive_dropped_total', { cell });
      }
      parts = placed ?? parts;
    }
    for (const [index, jobs] of parts.entries()) {
      const { revision = store.ABSENT_REVISION, jobs: known } = before[index] ?? {};
      if (jobs !== known) await writePart(day, index, jobs, revision);
    }
  };
  const deleteOld = async (): Promise<void> => {
    const today = dayOf(options.clock.wallMs());
    if (today === cleanedDay) return;
    const first = today - RETENTION_DAYS - 1;
    for (let day = first; day > first - CLEANUP_SPAN_DAYS; day -= 1) {
      const parts = await readDay(target, cell, day);
      // Deletes the last part first, since readers stop at the first missing part.
      for (const [index, { revision }] of [...parts.entries()].reverse()) {
        const key = storeKeys.jobArchiveKey(cell, day, index);
        await target.compareAndSwap({ key, expectedRevision: revision, value: null });
      }
    }
    cleanedDay = today;
  };
  const writeAll = async (): Promise<void> => {
    const records = pendingJobs;
    if (records.length === 0) return;
    const days = new Map<number, job.JobRecord[]>();
    for (const it of records) {
      const day = dayOf(it.endedAtMs ?? options.clock.wallMs());
      days.set(day, [...(days.get(day) ?? []), it]);
    }
    for (const [day, list] of days) await writeDay(day, list);
    const written = new Set(records);
    pendingJobs = pendingJobs.filter((it) => !written.has(it));
    await deleteOld();
  };
  const flush = (): Promise<void> => {
    writing = writing.then(writeAll, writeAll);
    return writing;
  };
  const schedule = (): void => {
    if (timer !== undefined || isDisposed || pendingJobs.length === 0) return;
    timer = options.clock.after(WRITE_PERIOD_MS, () => {
      flush()
        .catch((thrown: unknown) => {
          // The next write reads the day again and replaces jobs, so a lost reply does no harm.
          options.log('warn', 'archiveNotWritten', { reason: errors.normalize(thrown).message });
        })
        .finally(() => {
          timer = undefined;
          schedule();
        });
    });
  };
  const add = (record: job.JobRecord): void => {
    pendingJobs = [...pendingJobs.filter((it) => it.spec.jobId !== record.spec.jobId), record];
    schedule();
  };
  return {
    add,
    addRecent: (records) => {
      const sinceMs = options.clock.wallMs() - DAY_MS;
      records
        .filter((it) => job.isTerminal(it.state) && (it.endedAtMs ?? 0) > sinceMs)
        .forEach(add);
    },
    flush,
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  };
};
