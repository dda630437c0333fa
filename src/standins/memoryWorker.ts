/**
 * An in-memory stand-in for the platform's worker, which injects the faults that the contract allows
 * and records the runs that it executed.
 */
import type * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import type * as workerContract from '../state/common/workerContract.js';

/** Fault switches; initially all off. */
export interface WorkerFaults {
  /** This many of the next calls take effect, but their answers are lost. */
  loseAnswers: number;
  /** Every task fails shortly after its start. */
  isBlackHole: boolean;
  /** No call is answered and none takes effect; tasks run on until their leases expire. */
  isSilent: boolean;
}

/** One run of one task, as executed. */
export interface RunRecord {
  readonly key: string;
  readonly accelerators: readonly number[];
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
  end: workerContract.WorkerTask['phase'];
}

/** Behaviour of a task, given as JSON in its payload. */
export interface TaskScript {
  /** Total work of the task, counted from a start without a checkpoint. */
  readonly runMs: number;
  /** The task fails this long after its start. */
  readonly failAfterMs?: number;
}

/** The stand-in with its fault switches and recorded runs. */
export interface MemoryWorker extends workerContract.Worker, disposable.Disposable {
  readonly faults: WorkerFaults;
  readonly runs: () => readonly RunRecord[];
  /** Finishes a task immediately, regardless of its script. */
  readonly finish: (key: string) => void;
  /** Simulates a machine failure: all tasks end immediately and only the recorded runs remain. */
  readonly crash: () => void;
}

interface RunningTask {
  readonly start: workerContract.WorkerStart;
  readonly record: RunRecord;
  readonly script: TaskScript;
  phase: workerContract.WorkerTask['phase'];
  leaseUntilMs: number;
  checkpointMs: number;
  share: number;
  /** Work done up to the last change of `share`. */
  workMs: number;
  workAtMs: number;
  reason: string;
}

/** Age of the data in a usage report. */
const USAGE_LAG_MS = 200;

/** Interval at which the stand-in checks for ended tasks and expired leases. */
const STEP_MS = 20;

/** Time after which a worker with `isBlackHole` fails a task. */
const BLACK_HOLE_MS = 30;

/** Duration of the checkpoint that a stop with a grace period writes. */
const CHECKPOINT_MS = 50;

const parseScript = (payload: string): TaskScript => {
  try {
    const parsed = JSON.parse(payload) as Partial<TaskScript>;
    return { ...parsed, runMs: parsed.runMs ?? 1000 };
  } catch {
    return { runMs: 1000 };
  }
};

const isActive = (it: RunningTask): boolean => it.phase === 'running' || it.phase === 'stopping';

/**
 * @param timeSource - clock of the worker
 * @returns a worker without tasks
 */
export const createMemoryWorker = (timeSource: clock.Clock): MemoryWorker => {
  const tasks = new Map<string, RunningTask>();
  const records: RunRecord[] = [];
  const faults: WorkerFaults = { loseAnswers: 0, isBlackHole: false, isSilent: false };
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;

  const nowMs = (): number => timeSource.monotonicMs();
  const workOf = (it: RunningTask): number =>
    isActive(it) ? it.workMs + (nowMs() - it.workAtMs) * it.share : it.workMs;
  const end = (it: RunningTask, phase: RunningTask['phase'], reason: string): void => {
    if (!isActive(it)) return;
    it.workMs = workOf(it);
    it.phase = phase;
    it.reason = reason;
    it.record.endedAtMs = nowMs();
    it.record.end = phase;
  };
  const advance = (it: RunningTask): void => {
    if (!isActive(it)) return;
    const ranMs = nowMs() - it.record.startedAtMs;
    if (it.leaseUntilMs <= nowMs()) end(it, 'stopped', 'its lease lapsed');
    else if (faults.isBlackHole && ranMs >= BLACK_HOLE_MS) end(it, 'failed', 'device error');
    else if (ranMs >= (it.script.failAfterMs ?? Number.POSITIVE_INFINITY)) {
      end(it, 'failed', 'the task ended with an error');
    } else if (workOf(it) >= it.script.runMs) end(it, 'done', '');
  };
  const advanceAll = (): void => tasks.forEach(advance);
  const loop = (): void => {
    advanceAll();
    if (!isDisposed) timer = timeSource.after(STEP_MS, loop);
  };
  loop();

  const answer = async <T>(act: () => T): Promise<T> => {
    if (faults.isSilent) throw new Error('the worker does not answer');
    advanceAll();
    const result = act();
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      throw new Error('the answer is lost');
    }
    return Promise.resolve(result);
  };
  const assertFree = (start: workerContract.WorkerStart): void => {
    for (const it of tasks.values()) {
      const clash = it.start.accelerators.some((index) => start.accelerators.includes(index));
      if (isActive(it) && clash) throw new Error(`accelerators are busy with ${it.start.key}`);
    }
  };
  const start = (request: workerContract.WorkerStart): void => {
    if (tasks.has(request.key)) return;
    assertFree(request);
    const record: RunRecord = {
      key: request.key,
      accelerators: request.accelerators,
      startedAtMs: nowMs(),
      endedAtMs: undefined,
      end: 'running',
    };
    records.push(record);
    tasks.set(request.key, {
      start: request,
      record,
      script: parseScript(request.payload),
      phase: 'running',
      leaseUntilMs: nowMs() + request.leaseMs,
      checkpointMs: request.resumeFromMs,
      share: 1,
      workMs: request.resumeFromMs,
      workAtMs: nowMs(),
      reason: '',
    });
  };
  const stop = (it: RunningTask, graceMs: number): void => {
    if (it.phase !== 'running') return;
    it.phase = 'stopping';
    timeSource.after(Math.min(graceMs, CHECKPOINT_MS), () => {
      if (graceMs > 0 && isActive(it)) it.checkpointMs = workOf(it);
      end(it, 'stopped', 'stopped on request');
    });
  };
  return {
    faults,
    runs: () => records,
    start: (request) => answer(() => start(request)),
    renew: (keys, leaseMs) =>
      answer(() => {
        for (const key of keys) {
          const it = tasks.get(key);
          if (it !== undefined) it.leaseUntilMs = nowMs() + leaseMs;
        }
      }),
    checkpoint: (key) =>
      answer(() => {
        const it = tasks.get(key);
        if (it !== undefined) it.checkpointMs = workOf(it);
      }),
    throttle: (key, share) =>
      answer(() => {
        const it = tasks.get(key);
        if (it === undefined) return;
        it.workMs = workOf(it);
        it.workAtMs = nowMs();
        it.share = share;
      }),
    stop: (key, graceMs) =>
      answer(() => {
        const it = tasks.get(key);
        if (it !== undefined) stop(it, graceMs);
      }),
    forget: (keys) =>
      answer(() => {
        for (const key of keys) {
          const it = tasks.get(key);
          if (it !== undefined && !isActive(it)) tasks.delete(key);
        }
      }),
    report: () =>
      answer(() => ({
        lagMs: USAGE_LAG_MS,
        tasks: [...tasks.values()].map((it) => ({
          key: it.start.key,
          accelerators: it.start.accelerators,
          phase: it.phase,
          progressMs: Math.floor(workOf(it)),
          checkpointMs: Math.floor(it.checkpointMs),
          reason: it.reason,
        })),
      })),
    finish: (key) => {
      const it = tasks.get(key);
      if (it !== undefined) end(it, 'done', '');
    },
    crash: () => {
      tasks.forEach((it) => end(it, 'stopped', 'the machine failed'));
      tasks.clear();
    },
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  };
};
