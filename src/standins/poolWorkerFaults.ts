/**
 * The faults that the in-memory stand-in for a pool worker injects.
 */

/** How a task crashes the worker that starts it. */
export interface TaskCrash {
  /** From the start of the run; 0 also loses the answer to the start. */
  readonly afterMs: number;
  /** From the crash until the worker answers again. */
  readonly backAfterMs: number;
  /** Whether the worker is back under the id that it had. */
  readonly keepsId: boolean;
}

/** Fault switches; initially all off. */
export interface PoolWorkerFaults {
  /** No call is answered, and none takes effect. */
  isSilent: boolean;
  /** The worker is gone for good: it answers no call and sends no heartbeat. */
  isLost: boolean;
  /** Calls take effect, but their answers are lost, and so are the worker's heartbeats. */
  areAnswersLost: boolean;
  /** How long a caller waits for an answer that does not arrive. */
  timeoutMs: number;
  /** This many of the next orders get no answer and are executed after `lateByMs`. */
  delayOrders: number;
  lateByMs: number;
  /** Every start is refused, as by an unhealthy worker; all else works. */
  refusesStarts: boolean;
  /** Every task fails as soon as it is started. */
  failsAll: boolean;
  /** Tasks make no progress. */
  isStalled: boolean;
  /** Tasks that start now take this many times as long. */
  slowFactor: number;
  /** @returns how a task that starts now crashes the worker; undefined for a task that doesn't */
  crashOf: (task: string) => TaskCrash | undefined;
}

/**
 * @returns switches that are all off
 */
export const createFaults = (): PoolWorkerFaults => ({
  isSilent: false,
  isLost: false,
  areAnswersLost: false,
  timeoutMs: 0,
  delayOrders: 0,
  lateByMs: 3000,
  refusesStarts: false,
  failsAll: false,
  isStalled: false,
  slowFactor: 1,
  crashOf: () => undefined,
});
