/**
 * Runs tasks on an agent's worker for the leader of its cell.
 *
 * Guards against an unreachable leader: the worker's task leases are renewed only within the lease
 * of the last acknowledged report, counted from before that report was sent, so the tasks have
 * stopped before a later leader may count them as stopped.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import * as task from '../../state/common/task.js';
import type * as workerContract from '../../state/common/workerContract.js';
import * as agentTasks from '../common/agentTasks.js';

/** A report, as sent by the agent. */
export interface OutgoingReport {
  readonly epoch: number;
  readonly isFull: boolean;
  /** Number of command messages handled before the report was built. */
  readonly commandCount: number;
  readonly uptimeMs: number;
  /** Stamp of the last reply from the leader of the epoch. */
  readonly stampMs?: number;
  readonly tasks: readonly task.TaskReport[];
}

/** The leader's reply to a report. */
export interface ReportAnswer {
  readonly epoch: number;
  /** 0 if the leader may not grant leases now. */
  readonly leaseMs: number;
  readonly stampMs: number;
  /** Period of reports while no task changes. */
  readonly reportMs: number;
  readonly wantsFull: boolean;
  readonly acknowledged: readonly task.TaskToken[];
}

/** Result of one command. */
export interface CommandResult {
  readonly isAccepted: boolean;
  /** The task with this token does not run and never will. */
  readonly isGone: boolean;
  readonly reason?: string;
}

/** Options of {@link startAgentRuntime}. */
export interface AgentRuntimeOptions {
  readonly accelerators: number;
  readonly worker: workerContract.Worker;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Period of polling the worker, and of reports until the leader sets another. */
  readonly reportMs: number;
  /** Sends a report to the leader; throws if none is known or it does not reply. */
  readonly report: (report: OutgoingReport) => Promise<ReportAnswer>;
}

/** Runs the tasks of one agent. */
export interface AgentRuntime extends disposable.Disposable {
  /**
   * @returns the agent's tasks at the instant when it accepted the epoch
   * @throws AuburnliftError `staleEpoch` if a higher epoch was accepted
   */
  readonly fence: (epoch: number) => readonly task.TaskReport[];
  readonly acceptedEpoch: () => number;
  readonly uptimeMs: () => number;
  /** Number of command messages handled since the start. */
  readonly commandCount: () => number;
  readonly command: (
    epoch: number,
    commands: readonly task.TaskCommand[],
  ) => Promise<readonly CommandResult[]>;
  /** Tasks that have not ended and hold accelerators. */
  readonly activeTasks: () => readonly task.TaskReport[];
}

/** Number of partial reports between two full ones. */
const PARTIAL_REPORTS_PER_FULL = 8;

const isActive = (it: workerContract.WorkerTask): boolean =>
  it.phase === 'running' || it.phase === 'stopping';

/** Maximum number of start calls to the worker for one start command. */
const MAX_START_ATTEMPTS = 3;

const parseKey = (key: string): task.TaskToken | undefined => {
  const parts = /^(.+)\/(\d+)\/(\d+)$/.exec(key);
  const [, jobId, attempt, member] = parts ?? [];
  if (jobId === undefined) return undefined;
  return { jobId, attempt: Number(attempt), member: Number(member) };
};

/**
 * @param options - options
 * @returns the runtime, already reporting
 */
export const startAgentRuntime = (options: AgentRuntimeOptions): AgentRuntime => {
  const { clock: timeSource, worker, log } = options;
  let state = agentTasks.createAgentTasks(options.accelerators);
  let hasAdopted = false;
  let wantsFull = true;
  const bootedAtMs = timeSource.monotonicMs();
  let leaseUntilMs = bootedAtMs;
  let stampMs: number | undefined;
  let reportPeriodMs = options.reportMs;
  let reportDueMs = bootedAtMs;
  let retryAtMs = bootedAtMs;
  /** Task phases in the last acknowledged report, by task key. */
  let reportedPhases: ReadonlyMap<string, task.TaskPhase> = new Map();
  let reportsSinceFull = 0;
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  let isPolling = false;
  let commandCount = 0;

  const nowMs = (): number => timeSource.monotonicMs();
  const uptimeMs = (): number => Math.floor(nowMs() - bootedAtMs);
  const reports = (): task.TaskReport[] => [...state.held.values()].map(agentTasks.toReport);
  const startOnWorker = async (
    effect: Extract<agentTasks.AgentEffect, { type: 'start' }>,
  ): Promise<void> => {
    for (let attempt = 1; ; attempt += 1) {
      try {
        const leaseMs = Math.max(1, leaseUntilMs - nowMs());
        await worker.start({ ...effect, leaseMs });
        return;
      } catch (thrown) {
        if (attempt >= MAX_START_ATTEMPTS) throw thrown;
      }
    }
  };
  const perform = async (effect: agentTasks.AgentEffect): Promise<void> => {
    switch (effect.type) {
      case 'start':
        await startOnWorker(effect);
        break;
      case 'stop':
        await worker.stop(effect.key, effect.graceMs);
        break;
      case 'throttle':
        await worker.throttle(effect.key, effect.share);
        break;
      default:
        await worker.checkpoint(effect.key);
    }
  };
  const onEffectFailed = (effect: agentTasks.AgentEffect, thrown: unknown): void => {
    const reason = errors.normalize(thrown).message;
    log('warn', 'workerCallFailed', { type: effect.type, key: effect.key, reason });
    // The next poll of the worker shows the task's state; a lost stop is repeated there.
  };
  const runCommand = async (epoch: number, command: task.TaskCommand): Promise<CommandResult> => {
    const step = agentTasks.command(state, epoch, command, nowMs(), leaseUntilMs);
    state = step.next;
    for (const effect of step.effects) {
      try {
        await perform(effect);
      } catch (thrown) {
        onEffectFailed(effect, thrown);
      }
    }
    const { isAccepted, isGone, reason } = step;
    return isAccepted ? { isAccepted, isGone } : { isAccepted, isGone, reason };
  };

  /** Adopts the worker's tasks that an earlier boot of this agent started. */
  const adoptTasks = (usage: workerContract.WorkerUsage): void => {
    const held = new Map(state.held);
    for (const seen of usage.tasks) {
      const token = parseKey(seen.key);
      if (token === undefined || held.has(seen.key)) continue;
      held.set(seen.key, {
        token,
        phase: seen.phase,
        accelerators: seen.accelerators,
        reservedUntilMs: 0,
        progressMs: seen.progressMs,
        checkpointMs: seen.checkpointMs,
        reason: seen.reason,
      });
    }
    state = { ...state, held };
    hasAdopted = true;
  };
  const renewLeases = async (): Promise<void> => {
    const leftMs = Math.floor(leaseUntilMs - nowMs());
    const keys = [...state.held.values()]
      .filter((it) => it.phase === 'running' || it.phase === 'stopping')
      .map((it) => task.tokenKey(it.token));
    if (keys.length > 0 && leftMs > 0) await worker.renew(keys, leftMs);
  };
  const pollWorker = async (): Promise<void> => {
    const usage = await worker.report();
    if (!hasAdopted) adoptTasks(usage);
    const seen = new Map(usage.tasks.map((it) => [it.key, it]));
    const strayTasks = usage.tasks.filter((it) => isActive(it) && !state.held.has(it.key));
    // A start by an earlier boot may reach the worker late; no lease of it would be renewed.
    for (const it of strayTasks) await worker.stop(it.key, 0);
    for (const held of [...state.held.values()]) {
      const key = task.tokenKey(held.token);
      const observation = seen.get(key);
      if (observation !== undefined) state = agentTasks.observe(state, observation);
      const isStopLost = held.phase === 'stopping' && observation?.phase === 'running';
      if (isStopLost) await worker.stop(key, 0);
    }
    state = agentTasks.expire(state, nowMs());
  };
  /** The phase is not reported yet, or the leader has not acknowledged the end as durable. */
  const isUnreported = (it: task.TaskReport): boolean =>
    agentTasks.isEnded(it.phase) || reportedPhases.get(task.tokenKey(it.token)) !== it.phase;
  const hasUnreportedEnd = (): boolean =>
    reports().some(
      (it) =>
        agentTasks.isEnded(it.phase) && reportedPhases.get(task.tokenKey(it.token)) !== it.phase,
    );
  /**
   * The end of a task frees accelerators that urgent jobs may wait for, so it is reported
   * immediately. After a failed report, the next one waits a quarter of a period: a leader that is
   * slow under the reports of a cell would otherwise get all of them again with each poll.
   */
  const isReportDue = (): boolean =>
    nowMs() >= retryAtMs && (wantsFull || hasUnreportedEnd() || nowMs() >= reportDueMs);
  const sendReport = async (): Promise<void> => {
    const sentAtMs = nowMs();
    const epoch = state.acceptedEpoch;
    const isFull = wantsFull || reportsSinceFull >= PARTIAL_REPORTS_PER_FULL;
    const all = reports();
    const phases = new Map(all.map((it) => [task.tokenKey(it.token), it.phase]));
    const tasks = isFull ? all : all.filter(isUnreported);
    // Reset before sending, as a fence while the report is in flight requests a full one again.
    wantsFull = false;
    let answer: ReportAnswer;
    try {
      answer = await options.report({
        epoch,
        isFull,
        commandCount,
        uptimeMs: uptimeMs(),
        ...(stampMs === undefined ? {} : { stampMs }),
        tasks,
      });
    } catch (thrown) {
      wantsFull = true;
      retryAtMs = nowMs() + reportPeriodMs / 4;
      throw thrown;
    }
    const isCurrent = answer.epoch === epoch && epoch === state.acceptedEpoch;
    if (!isCurrent) {
      // A reply for another epoch grants no lease; that leader must fence this agent first.
      wantsFull = true;
      return;
    }
    leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + answer.leaseMs);
    stampMs = answer.stampMs;
    reportPeriodMs = answer.reportMs;
    reportDueMs = sentAtMs + reportPeriodMs;
    reportsSinceFull = isFull ? 0 : reportsSinceFull + 1;
    wantsFull ||= answer.wantsFull;
    reportedPhases = phases;
    const forgotten = answer.acknowledged.map(task.tokenKey);
    state = agentTasks.removeEnded(state, answer.acknowledged);
    if (forgotten.length > 0) await worker.forget(forgotten);
  };
  const pollAndReport = async (): Promise<void> => {
    isPolling = true;
    try {
      await pollWorker();
      if (isReportDue()) await sendReport();
    } catch (thrown) {
      log('debug', 'reportFailed', { reason: errors.normalize(thrown).message });
    }
    try {
      await renewLeases();
    } catch (thrown) {
      log('warn', 'renewFailed', { reason: errors.normalize(thrown).message });
    }
    isPolling = false;
    if (!isDisposed) schedule(options.reportMs);
  };
  const schedule = (delayMs: number): void => {
    void timer?.dispose();
    timer = timeSource.after(delayMs, () => {
      if (!isPolling) void pollAndReport();
    });
  };
  void pollAndReport();
  return {
    fence: (epoch) => {
      const fenced = agentTasks.fence(state, epoch);
      if (fenced === undefined) {
        throw errors.fail('staleEpoch', `epoch ${epoch} is older than ${state.acceptedEpoch}`);
      }
      if (!hasAdopted) {
        throw errors.fail('peerUnreachable', 'the agent has not seen its worker yet');
      }
      if (fenced !== state) stampMs = undefined;
      state = fenced;
      wantsFull = true;
      retryAtMs = nowMs();
      schedule(0);
      return reports();
    },
    acceptedEpoch: () => state.acceptedEpoch,
    uptimeMs,
    commandCount: () => commandCount,
    command: async (epoch, commands) => {
      const results = [];
      for (const command of commands) results.push(await runCommand(epoch, command));
      commandCount += 1;
      return results;
    },
    activeTasks: () => reports().filter((it) => !agentTasks.isEnded(it.phase)),
    dispose: () => {
      isDisposed = true;
      void timer?.dispose();
    },
  };
};
