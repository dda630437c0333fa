/**
 * What callers and workers observed during a soak; its invariants are checked against nothing else.
 */
import type * as memoryPoolWorker from '../standins/memoryPoolWorker.js';

/** How a call ended for its caller. */
export const CallEnd = {
  /** With a complete response. */
  answered: 'answered',
  /** The connection ended before a complete response. */
  cut: 'cut',
  /** The caller's timeout expired. */
  timeout: 'timeout',
  /** No connection was established; nothing was sent. */
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
  /** HTTP status; 0 without a complete response. */
  readonly status: number;
  /** The job's state, if a GET returned it. */
  readonly state: string | undefined;
  /** Jobs of the queue that have not started, if a GET returned them. */
  readonly pending?: number | undefined;
}

/** A step of a submitted job. */
export interface SubmittedStep {
  readonly count: number;
  readonly accelerators: number;
  readonly isGang: boolean;
  readonly after: readonly number[];
  /** Label of the workers that its tasks need; absent for any worker. */
  readonly requires?: string;
  /** Its tasks need so little that hundreds run on one worker. */
  readonly isSmall?: boolean;
}

/** A job that a caller submitted. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly payload: string;
  readonly steps: readonly SubmittedStep[];
}

/** A run with the index of its worker. */
export interface WorkerRun extends memoryPoolWorker.RecordedRun {
  readonly workerIndex: number;
  readonly zone: string;
}

/** A zone that was evacuated and taken back. */
export interface Evacuation {
  readonly zone: string;
  /** When the store had confirmed it. */
  readonly fromMs: number;
  /** When it began to be taken back. */
  readonly untilMs: number;
}

/** A revoked API key. */
export interface Revocation {
  readonly apiKey: string;
  readonly atMs: number;
}

/** A period during which a fault other than a planned stop affected an entry or its links. */
export interface Disturbance {
  readonly entry: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All observations of a soak. */
export interface Evidence {
  readonly jobs: readonly SubmittedJob[];
  readonly calls: readonly CallRecord[];
  readonly runs: readonly WorkerRun[];
  readonly revocations: readonly Revocation[];
  readonly disturbances: readonly Disturbance[];
  readonly evacuations: readonly Evacuation[];
  /** Processes that exited without having been asked to. */
  readonly failures: readonly string[];
  readonly acceleratorsPerWorker: number;
  /** Nothing starts in a zone later than this after its evacuation. */
  readonly evacuateMs: number;
  /** A job counts as pending this long after it was accepted at the latest. */
  readonly visibleMs: number;
  /** Time within which every entry must refuse a revoked key. */
  readonly revokeMs: number;
  /** Failed runs after which a task is abandoned. */
  readonly attempts: number;
}
