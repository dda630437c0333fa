/**
 * The contract with the platform's worker: it runs tasks under leases and reports with a lag.
 *
 * Every call may be lost before or after it took effect, and may be repeated; each is idempotent by
 * its key. A task whose lease lapses is stopped by the worker itself.
 */

/** A task to be started. */
export interface WorkerStart {
  /** Names one start; the same key again is the same start. */
  readonly key: string;
  readonly accelerators: readonly number[];
  readonly payload: string;
  /** Work that the last checkpoint kept. */
  readonly resumeFromMs: number;
  /** The task stops when its lease is not renewed within this time. */
  readonly leaseMs: number;
}

/** A task as the worker last measured it. */
export interface WorkerTask {
  readonly key: string;
  readonly accelerators: readonly number[];
  readonly phase: 'running' | 'stopping' | 'done' | 'failed' | 'stopped';
  readonly progressMs: number;
  readonly checkpointMs: number;
  readonly reason: string;
}

/** The worker's lagged report. */
export interface WorkerUsage {
  /** How old the figures are. */
  readonly lagMs: number;
  readonly tasks: readonly WorkerTask[];
}

/** The worker as the agent on its VM uses it. Methods throw where no answer came. */
export interface Worker {
  readonly start: (start: WorkerStart) => Promise<void>;
  readonly renew: (keys: readonly string[], leaseMs: number) => Promise<void>;
  readonly checkpoint: (key: string) => Promise<void>;
  readonly throttle: (key: string, share: number) => Promise<void>;
  /** Checkpoints within the grace where the task can, then stops. */
  readonly stop: (key: string, graceMs: number) => Promise<void>;
  /** Drops what the worker remembers of ended tasks. */
  readonly forget: (keys: readonly string[]) => Promise<void>;
  readonly report: () => Promise<WorkerUsage>;
}
