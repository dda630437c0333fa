/**
 * What callers and workers saw during a soak; its promises are judged by nothing else.
 */
import type * as memoryPoolWorker from '../standins/memoryPoolWorker.js';

/** How a call ended for its caller. */
export const CallEnd = {
  /** With a whole answer. */
  answered: 'answered',
  /** The connection ended without one. */
  cut: 'cut',
  /** The caller gave it up. */
  timeout: 'timeout',
  /** There was no connection; nothing was sent. */
  notSent: 'notSent',
} as const;

/** One of the values of {@link CallEnd}. */
export type CallEnd = (typeof CallEnd)[keyof typeof CallEnd];

/** One call of a caller. */
export interface CallRecord {
  /** Name of the entry's process. */
  readonly entry: string;
  readonly method: 'POST' | 'GET' | 'DELETE';
  readonly jobId: string;
  readonly apiKey: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end: CallEnd;
  /** 0 without a whole answer. */
  readonly status: number;
  /** The job's state, where a GET told it. */
  readonly state: string | undefined;
}

/** A step of a submitted job. */
export interface SubmittedStep {
  readonly count: number;
  readonly accelerators: number;
  readonly isGang: boolean;
  readonly after: readonly number[];
}

/** A job that a caller handed in. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly payload: string;
  readonly steps: readonly SubmittedStep[];
}

/** A run with the worker that had it. */
export interface WorkerRun extends memoryPoolWorker.RecordedRun {
  readonly workerIndex: number;
}

/** A key that was taken away. */
export interface Revocation {
  readonly apiKey: string;
  readonly atMs: number;
}

/** A time during which something besides planned stops was done to an entry or its lines. */
export interface Disturbance {
  readonly entry: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Everything that was seen. */
export interface Evidence {
  readonly jobs: readonly SubmittedJob[];
  readonly calls: readonly CallRecord[];
  readonly runs: readonly WorkerRun[];
  readonly revocations: readonly Revocation[];
  readonly disturbances: readonly Disturbance[];
  /** Processes that ended without having been told to. */
  readonly failures: readonly string[];
  readonly acceleratorsPerWorker: number;
  /** Time within which a revoked key stops everywhere. */
  readonly revokeMs: number;
  /** Failed runs after which a task is given up. */
  readonly attempts: number;
}
