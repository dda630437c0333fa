/**
 * A job's progress as the leader stores it: one row per task that was ever started. The rows are
 * compact, because the record is rewritten with every start and end.
 */
import type * as poolJob from './poolJob.js';

/** State of a task. */
export const TaskPhase = {
  waiting: 'waiting',
  /** Assigned to a worker, on which it will run, is running or has run. */
  assigned: 'assigned',
  done: 'done',
  /** All runs that the queue allows have failed. */
  failed: 'failed',
} as const;

/** One of the values of {@link TaskPhase}. */
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase];

const PHASES: readonly TaskPhase[] = ['waiting', 'assigned', 'done', 'failed'];

/** A start order of which a copy got no answer and may be executed late. */
export interface OpenOrder {
  /** Agent of the worker that it was sent to. */
  readonly agentId: string;
  readonly workerId: string;
  /** Unix milliseconds until which the copy may arrive. */
  readonly untilWallMs: number;
}

/** What the crash of a worker says about a task whose run ended with it. */
export const CrashEvidence = {
  /** Only tasks of its job were on the worker. */
  alone: 'alone',
  /** It was among the tasks that had started last there. */
  lastStarted: 'lastStarted',
  /** Other tasks had started later there. */
  bystander: 'bystander',
  /** Most workers went down at the same time. */
  widespread: 'widespread',
  /** Nobody saw how the worker ended: its agent was restarted as well, or the worker is not back yet. */
  unseen: 'unseen',
} as const;

/** One of the values of {@link CrashEvidence}. */
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence];

const CRASH_EVIDENCE: readonly CrashEvidence[] = [
  'alone',
  'lastStarted',
  'bystander',
  'widespread',
  'unseen',
];

/** A crash of a worker under a task. */
export interface WorkerCrash {
  readonly run: number;
  /** From the start of the run to the crash. */
  readonly ranMs: number;
  readonly evidence: CrashEvidence;
}

/** The stored state of one task. */
export interface TaskRow {
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
  /** Number of the last start, from 1; 0 before the first. */
  readonly run: number;
  readonly phase: TaskPhase;
  readonly failures: number;
  /** The last run whose failure was counted. */
  readonly failedRun: number;
  /** Worker of the last run; empty before the first. */
  readonly workerId: string;
  readonly incarnationMs: number;
  /** Agent of that worker; a later incarnation of its worker doesn't have the run. */
  readonly agentId: string;
  /** Checkpoint from which the next run resumes; empty if there is none. */
  readonly saved: string;
  /** Unix milliseconds at which the last run was assigned; 0 if not known. */
  readonly startedAtWallMs: number;
  /** Factor by which the last run takes longer on its worker than with local data; 0 if not known. */
  readonly distanceFactor: number;
  /** Its run time with local data, determined when it was done; 0 if not known. */
  readonly workMs: number;
  /** An earlier run that was declared lost but was done nevertheless; 0 if there is none. */
  readonly earlierDoneRun: number;
  /** Unacknowledged start orders of any of its runs, one for each agent; those that are over may still be listed. */
  readonly openOrders: readonly OpenOrder[];
  /** Crashes of workers under it, ordered by run; absent where there are none. */
  readonly crashes?: readonly WorkerCrash[];
  /** Starts since the crash from which on its starts are limited; absent before. */
  readonly limitedStarts?: number;
}

/** The stored state of a job, besides its specification. */
export interface ProgressRecord {
  readonly state: poolJob.PoolJobState;
  /** Unix milliseconds of its end; 0 before it ends. */
  readonly endedAtMs: number;
  readonly tasks: readonly TaskRow[];
}

type WireOrder = readonly [agentId: string, workerId: string, untilWallMs: number];

type WireRow = readonly [
  occurrence: number,
  step: number,
  index: number,
  run: number,
  phase: number,
  failures: number,
  failedRun: number,
  workerId: string,
  incarnationMs: number,
  agentId: string,
  saved: string,
  startedAtWallMs?: number,
  distanceFactor?: number,
  workMs?: number,
  earlierDoneRun?: number,
  /** The latest end of its open orders; earlier versions read only this one, of the last run's agent. */
  lateUntilWallMs?: number,
  ...openOrders: readonly WireOrder[],
];

type WireCrash = readonly [run: number, ranMs: number, evidence: number];

type WireCrashes = readonly [
  occurrence: number,
  step: number,
  index: number,
  limitedStarts: number,
  ...crashes: readonly WireCrash[],
];

interface WireRecord {
  readonly state: poolJob.PoolJobState;
  readonly endedAtMs: number;
  readonly tasks: readonly WireRow[];
  /** Beside the rows, whose end earlier versions read as open orders; they drop this part when they write. */
  readonly crashes?: readonly WireCrashes[];
}

const fromOpenOrders = (orders: readonly OpenOrder[]): WireOrder[] =>
  orders.map((it) => [it.agentId, it.workerId, it.untilWallMs]);

/** Earlier versions stored only the end of the last run's order. */
const toOpenOrders = (row: WireRow): OpenOrder[] => {
  const [, , , , , , , workerId, , agentId, , , , , , lateUntilWallMs = 0, ...orders] = row;
  if (orders.length === 0 && lateUntilWallMs > 0) {
    return [{ agentId, workerId, untilWallMs: lateUntilWallMs }];
  }
  return orders.map((it) => ({ agentId: it[0], workerId: it[1], untilWallMs: it[2] }));
};

const toWireRow = (row: TaskRow): WireRow => [
  row.occurrence,
  row.step,
  row.index,
  row.run,
  PHASES.indexOf(row.phase),
  row.failures,
  row.failedRun,
  row.workerId,
  row.incarnationMs,
  row.agentId,
  row.saved,
  row.startedAtWallMs,
  row.distanceFactor,
  row.workMs,
  row.earlierDoneRun,
  Math.max(0, ...row.openOrders.map((it) => it.untilWallMs)),
  ...fromOpenOrders(row.openOrders),
];

const fromWireRow = (row: WireRow): TaskRow => ({
  occurrence: row[0],
  step: row[1],
  index: row[2],
  run: row[3],
  phase: PHASES[row[4]] ?? TaskPhase.waiting,
  failures: row[5],
  failedRun: row[6],
  workerId: row[7],
  incarnationMs: row[8],
  agentId: row[9],
  saved: row[10],
  startedAtWallMs: row[11] ?? 0,
  distanceFactor: row[12] ?? 0,
  workMs: row[13] ?? 0,
  earlierDoneRun: row[14] ?? 0,
  openOrders: toOpenOrders(row),
});

const toWireCrashes = (row: TaskRow): WireCrashes[] => {
  const { occurrence, step, index, crashes = [], limitedStarts = 0 } = row;
  if (crashes.length === 0) return [];
  const wire = crashes.map((it): WireCrash => [
    it.run,
    it.ranMs,
    CRASH_EVIDENCE.indexOf(it.evidence),
  ]);
  return [[occurrence, step, index, limitedStarts, ...wire]];
};

const fromWireCrash = ([run, ranMs, evidence]: WireCrash): WorkerCrash => ({
  run,
  ranMs,
  evidence: CRASH_EVIDENCE[evidence] ?? CrashEvidence.unseen,
});

const addCrashes = (rows: readonly TaskRow[], crashes: readonly WireCrashes[]): TaskRow[] => {
  const keyOf = (...name: readonly number[]): string => name.join('.');
  const byTask = new Map(crashes.map((it) => [keyOf(it[0], it[1], it[2]), it]));
  return rows.map((row) => {
    const found = byTask.get(keyOf(row.occurrence, row.step, row.index));
    if (found === undefined) return row;
    const [, , , limitedStarts, ...its] = found;
    return { ...row, limitedStarts, crashes: its.map(fromWireCrash) };
  });
};

/**
 * @param record - a job's progress
 * @returns its serialized record
 */
export const encodeProgress = (record: ProgressRecord): string => {
  const crashes = record.tasks.flatMap(toWireCrashes);
  return JSON.stringify({
    ...record,
    tasks: record.tasks.map(toWireRow),
    ...(crashes.length === 0 ? {} : { crashes }),
  });
};

/**
 * Leaves out checkpoints that make a record larger than the store takes: their length is up to the workers. A later leader
 * starts these tasks from the beginning, where a job whose record can't be stored would not go on at all.
 *
 * @param record - a job's progress
 * @param maxBytes - largest value that the store takes
 * @returns its serialized record
 */
export const encodeProgressWithin = (record: ProgressRecord, maxBytes: number): string => {
  const value = encodeProgress(record);
  // A character takes three bytes at most.
  const mayBeTooLarge = 3 * value.length > maxBytes;
  if (!mayBeTooLarge || new TextEncoder().encode(value).length <= maxBytes) return value;
  const tasks = record.tasks.map((row) => (row.saved === '' ? row : { ...row, saved: '' }));
  return encodeProgress({ ...record, tasks });
};

/**
 * @param text - a record that the leader wrote
 * @returns the progress
 * @throws SyntaxError if it is not JSON
 */
export const decodeProgress = (text: string): ProgressRecord => {
  const { crashes = [], ...wire } = JSON.parse(text) as WireRecord;
  const tasks = wire.tasks.map(fromWireRow);
  return { ...wire, tasks: crashes.length === 0 ? tasks : addCrashes(tasks, crashes) };
};
