/**
 * An in-memory stand-in for a pool worker: runs tasks on a fake clock and injects the faults that the worker
 * contract allows. It records every start, and tests assert on these records.
 */
import * as clock from '../base/common/clock.js';
import type * as disposable from '../base/common/disposable.js';
import type * as agentContract from '../state/common/pool/agentContract.js';
import type * as poolWorker from '../state/common/pool/poolWorker.js';
import * as poolWorkerFaults from './poolWorkerFaults.js';

/** One run, from its start to its end. */
export interface RecordedRun {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
  how: poolWorker.EndKind | 'crashed' | undefined;
  /** The leader acknowledged the end of the run, and the worker dropped it from its report. */
  isAcknowledged: boolean;
  /** The worker's lease expired between the end and its acknowledgement, so the acknowledgement doesn't count. */
  hasLapsedSince: boolean;
  /** Started `lateByMs` after its order, by the `delayOrders` fault. */
  readonly isLate: boolean;
}

/** The stand-in with what tests inspect and control beyond the contract. */
export interface MemoryPoolWorker {
  readonly link: agentContract.WorkerApi;
  readonly faults: poolWorkerFaults.PoolWorkerFaults;
  readonly runs: readonly RecordedRun[];
  readonly info: () => poolWorker.WorkerInfo;
  /** Highest sequence of ended runs acknowledged in the current incarnation; these are no longer listed. */
  readonly acknowledgedUpTo: () => number;
  /** Sets the state to draining; running tasks continue. */
  readonly drain: (remainingMs: number) => void;
  /** Changes the accelerators that the worker says it has; running tasks continue. */
  readonly resize: (accelerators: number) => void;
  /** Takes a {@link drain} back. */
  readonly cancelDrain: () => void;
  /** Ends all tasks immediately and starts a new incarnation, under the same or another id. */
  readonly crash: (workerId?: string) => void;
  readonly dispose: () => void;
}

/** Options of the stand-in. */
export interface MemoryPoolWorkerOptions {
  readonly clock: clock.Clock;
  readonly info: poolWorker.WorkerInfo;
  /** Duration of a task; infinite for one that lasts until it is stopped. */
  readonly workMs: (task: string) => number;
  /** Size of the gang of the task; 1 for a task without a gang. */
  readonly gangOf: (task: string) => number;
  readonly maxLeaseMs: number;
  readonly gangMs: number;
  /** Ends that it lists at a time; {@link MAX_LISTED_ENDS} by default. */
  readonly maxListedEnds?: number;
}

/** Ends that a worker of the platform lists at a time. */
export const MAX_LISTED_ENDS = 500;

interface EndedRecord {
  readonly listed: poolWorker.EndedRun;
  readonly record: RecordedRun;
}

interface LiveRun {
  readonly record: RecordedRun;
  timer: disposable.Disposable | undefined;
}

const STOP_MS = 50;
const TICK_MS = 100;
const NO_ANSWER = { outcome: 'unknown', reason: 'silence' } as const;
const ACCEPTED: agentContract.WorkerAnswer = { outcome: 'accepted', reason: '' };

/** Key of the gang in the registry that all workers of a test share. */
const gangKeyOf = (record: RecordedRun): string =>
  `${record.task.slice(0, record.task.lastIndexOf('.'))}#${record.run}`;

/** Registry of gang members over all workers of a test. */
export interface GangRegistry {
  readonly members: Map<string, Set<LiveRun>>;
  readonly workers: Set<(key: string, how: poolWorker.EndKind) => void>;
}

/**
 * @returns an empty registry
 */
export const createGangRegistry = (): GangRegistry => ({ members: new Map(), workers: new Set() });

/**
 * @param options - options of the stand-in
 * @param board - gang registry shared by the workers of a test
 * @returns the stand-in
 */
export const createMemoryPoolWorker = (
  options: MemoryPoolWorkerOptions,
  board: GangRegistry,
): MemoryPoolWorker => {
  const { clock: time } = options;
  const runs: RecordedRun[] = [];
  const faults = poolWorkerFaults.createFaults();
  const waiters = new Set<() => void>();
  let { info } = options;
  let incarnationStartMs = time.monotonicMs();
  let live = new Map<string, LiveRun>();
  let refusedUpTo = new Map<string, number>();
  let ended: EndedRecord[] = [];
  let sequence = 0;
  let fence = 0;
  let acknowledgedUpTo = 0;
  let leaseUntilMs = 0;
  let isDisposed = false;
  /** Crashes under its own tasks. */
  let crashes = 0;

  const clockMs = (): number => Math.floor(time.monotonicMs() - incarnationStartMs);
  const wakeAll = (): void => {
    const woken = [...waiters];
    waiters.clear();
    woken.forEach((wake) => wake());
  };
  const end = (it: LiveRun, how: poolWorker.EndKind): void => {
    const { record } = it;
    if (record.how !== undefined) return;
    void it.timer?.dispose();
    record.how = how;
    record.endedAtMs = time.monotonicMs();
    live.delete(record.task);
    refusedUpTo.set(record.task, Math.max(record.run, refusedUpTo.get(record.task) ?? 0));
    sequence += 1;
    const { task, run } = record;
    ended.push({ listed: { sequence, task, run, how, saved: '' }, record });
    board.members.get(gangKeyOf(record))?.delete(it);
    wakeAll();
  };
  const endGang = (key: string, how: poolWorker.EndKind): void => {
    for (const it of [...live.values()]) if (gangKeyOf(it.record) === key) end(it, how);
  };
  board.workers.add(endGang);
  const endWithGang = (it: LiveRun, how: poolWorker.EndKind): void => {
    const key = gangKeyOf(it.record);
    const isGang = options.gangOf(it.record.task) > 1;
    end(it, how);
    if (!isGang) return;
    for (const endOnWorker of board.workers) endOnWorker(key, how === 'done' ? 'done' : 'broken');
  };
  const work = (it: LiveRun): void => {
    if (faults.failsAll) {
      endWithGang(it, 'failed');
      return;
    }
    const workMs = options.workMs(it.record.task) * faults.slowFactor;
    if (workMs === Infinity) return;
    it.timer = time.after(workMs, () => {
      if (faults.isStalled) work(it);
      else endWithGang(it, 'done');
    });
  };
  const begin = (it: LiveRun): void => {
    const size = options.gangOf(it.record.task);
    if (size === 1) {
      work(it);
      return;
    }
    const key = gangKeyOf(it.record);
    const members = board.members.get(key) ?? new Set();
    members.add(it);
    board.members.set(key, members);
    it.timer = time.after(options.gangMs, () => endWithGang(it, 'alone'));
    if (members.size < size) return;
    for (const member of members) {
      void member.timer?.dispose();
      member.timer = undefined;
    }
    work(it);
  };
  const crash = (workerId: string): void => {
    for (const it of live.values()) {
      void it.timer?.dispose();
      it.record.how = 'crashed';
      it.record.endedAtMs = time.monotonicMs();
      board.members.get(gangKeyOf(it.record))?.delete(it);
    }
    const keys = [...live.values()].map(({ record }) => gangKeyOf(record));
    live = new Map();
    refusedUpTo = new Map();
    ended = [];
    sequence = 0;
    fence = 0;
    acknowledgedUpTo = 0;
    leaseUntilMs = 0;
    incarnationStartMs = time.monotonicMs();
    const incarnationMs = info.incarnationMs + 1 + Math.floor(incarnationStartMs);
    info = { ...options.info, workerId, incarnationMs };
    keys.forEach((key) => board.workers.forEach((endOnWorker) => endOnWorker(key, 'broken')));
    wakeAll();
  };

  const scheduleCrash = ({ record }: LiveRun): void => {
    const pattern = faults.crashOf(record.task);
    if (pattern === undefined) return;
    const crashNow = (): void => {
      if (record.how !== undefined) return;
      crashes += 1;
      crash(pattern.keepsId ? info.workerId : `${options.info.workerId}-${crashes}`);
      faults.isSilent = true;
      time.after(pattern.backAfterMs, () => {
        faults.isSilent = false;
      });
    };
    if (pattern.afterMs === 0) crashNow();
    else time.after(pattern.afterMs, crashNow);
  };

  const start = (order: agentContract.WorkerStart, isLate: boolean): agentContract.WorkerAnswer => {
    const refuse = (reason: string): agentContract.WorkerAnswer => ({ outcome: 'refused', reason });
    if (order.fence < fence) return refuse('fence');
    if (faults.refusesStarts) return refuse('unhealthy');
    fence = order.fence;
    if (order.leaseUntilMs <= clockMs()) return refuse('late');
    leaseUntilMs = Math.max(
      leaseUntilMs,
      Math.min(order.leaseUntilMs, clockMs() + options.maxLeaseMs),
    );
    const { task, run, payload } = order;
    if (live.get(task)?.record.run === run) return ACCEPTED;
    if (run <= (refusedUpTo.get(task) ?? 0) || live.has(task)) return refuse('old');
    const record: RecordedRun = {
      task,
      run,
      payload,
      startedAtMs: time.monotonicMs(),
      endedAtMs: undefined,
      how: undefined,
      isAcknowledged: false,
      hasLapsedSince: false,
      isLate,
    };
    runs.push(record);
    const it: LiveRun = { record, timer: undefined };
    live.set(task, it);
    begin(it);
    scheduleCrash(it);
    return ACCEPTED;
  };
  const stop = (order: agentContract.StopCommand & { readonly fence: number }) => {
    if (order.fence < fence) return { outcome: 'refused', reason: 'fence' } as const;
    fence = order.fence;
    const it = live.get(order.task);
    refusedUpTo.set(order.task, Math.max(order.run, refusedUpTo.get(order.task) ?? 0));
    if (it?.record.run === order.run) time.after(STOP_MS, () => endWithGang(it, 'stopped'));
    return ACCEPTED;
  };

  const isAway = (): boolean => faults.isSilent || faults.isLost;
  const waitInVain = async (): Promise<typeof NO_ANSWER> => {
    if (faults.timeoutMs > 0) await clock.sleep(time, faults.timeoutMs);
    return NO_ANSWER;
  };

  const execute = async (
    workerId: string,
    action: (isLate: boolean) => agentContract.WorkerAnswer,
  ): Promise<agentContract.WorkerAnswer> => {
    if (isAway()) return waitInVain();
    if (faults.delayOrders > 0) {
      faults.delayOrders -= 1;
      time.after(faults.lateByMs, () => {
        if (workerId === info.workerId) action(true);
      });
      return waitInVain();
    }
    if (workerId !== info.workerId) return { outcome: 'refused', reason: '421' };
    const answer = action(false);
    return isAway() || faults.areAnswersLost ? waitInVain() : answer;
  };

  const checkLease = (): void => {
    if (isDisposed) return;
    if (clockMs() > leaseUntilMs) {
      for (const it of [...live.values()]) endWithGang(it, 'lapsed');
      for (const { record } of ended) record.hasLapsedSince = true;
    }
    time.after(TICK_MS, checkLease);
  };
  time.after(TICK_MS, checkLease);

  const view = async (
    workerId: string | undefined,
    request: agentContract.WorkerReportRequest,
  ): Promise<agentContract.WorkerReportAnswer> => {
    if (isAway()) return waitInVain();
    if (workerId !== undefined && workerId !== info.workerId) {
      return { outcome: 'refused', reason: '421' };
    }
    if (request.fence < fence) return { outcome: 'refused', reason: 'fence' };
    fence = request.fence;
    acknowledgedUpTo = Math.max(acknowledgedUpTo, request.seenUpTo);
    const isSeen = (it: EndedRecord): boolean => it.listed.sequence <= request.seenUpTo;
    for (const it of ended.filter(isSeen)) it.record.isAcknowledged = true;
    ended = ended.filter((it) => !isSeen(it));
    if (request.leaseUntilMs > 0) {
      const cappedMs = Math.min(request.leaseUntilMs, clockMs() + options.maxLeaseMs);
      leaseUntilMs = Math.max(leaseUntilMs, cappedMs);
    }
    if (ended.length === 0 && request.waitMs > 0) {
      await new Promise<void>((resolve) => {
        const timer = time.after(request.waitMs, resolve);
        waiters.add(() => {
          void timer.dispose();
          resolve();
        });
      });
    }
    if (isAway() || faults.areAnswersLost) return waitInVain();
    const running = [...live.values()].map(({ record }) => {
      const workedMs = time.monotonicMs() - record.startedAtMs;
      const wholeMs = options.workMs(record.task) * faults.slowFactor;
      // A task that lasts is at 100 per cent while it is at work.
      const percent =
        wholeMs === Infinity ? 100 : Math.min(99, Math.floor((100 * workedMs) / wholeMs));
      return { task: record.task, run: record.run, saved: '', percent };
    });
    const { incarnationMs } = info;
    const { maxListedEnds = MAX_LISTED_ENDS } = options;
    return {
      outcome: 'view',
      view: {
        incarnationMs,
        clockMs: clockMs(),
        running,
        ended: ended.slice(0, maxListedEnds).map(({ listed }) => listed),
        ...(ended.length < maxListedEnds ? {} : { mayOmitEnds: true }),
      },
    };
  };

  return {
    link: {
      start: (workerId, order) => execute(workerId, (isLate) => start(order, isLate)),
      stop: (workerId, order) => execute(workerId, () => stop(order)),
      pace: (workerId) => execute(workerId, () => ACCEPTED),
      view,
    },
    faults,
    runs,
    info: () => info,
    acknowledgedUpTo: () => acknowledgedUpTo,
    drain: (remainingMs) => {
      info = { ...info, state: 'draining', remainingMs };
    },
    resize: (accelerators) => {
      info = { ...info, capacity: { ...info.capacity, accelerators } };
    },
    cancelDrain: () => {
      const { workerId, incarnationMs } = info;
      info = { ...options.info, workerId, incarnationMs };
    },
    crash: (workerId = info.workerId) => crash(workerId),
    dispose: () => {
      isDisposed = true;
      wakeAll();
    },
  };
};
