/**
 * The contract with the platform's worker: it runs tasks under leases and reports with a delay.
 *
 * Every call may be lost before or after it took effect, and may be repeated; each is idempotent by
 * its key. The worker itself stops a task whose lease expires.
 */

/** A task to start. */
export interface WorkerStart {
  /** Identifies one start; repeating the key repeats the same start. */
  readonly key: string;
  readonly accelerators: readonly number[];
  readonly payload: string;
  /** Work saved by the last checkpoint. */
  readonly resumeFromMs: number;
  /** The task stops unless its lease is renewed within this time. */
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

/** The worker's delayed report. */
export interface WorkerUsage {
  /** Age of the figures. */
  readonly lagMs: number;
  readonly tasks: readonly WorkerTask[];
}

/** Calls of an agent to the worker on its VM. Methods throw if no answer arrives. */
export interface Worker {
  readonly start: (start: WorkerStart) => Promise<void>;
  readonly renew: (keys: readonly string[], leaseMs: number) => Promise<void>;
  readonly checkpoint: (key: string) => Promise<void>;
  readonly throttle: (key: string, share: number) => Promise<void>;
  /** Checkpoints within the grace period if the task supports it, then stops. */
  readonly stop: (key: string, graceMs: number) => Promise<void>;
  /** Removes ended tasks from the worker's report. */
  readonly forget: (keys: readonly string[]) => Promise<void>;
  readonly report: () => Promise<WorkerUsage>;
}
