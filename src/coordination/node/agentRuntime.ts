/**
 * The part of an agent that runs tasks on its worker for the leader of its cell.
 *
 * Guards against a leader that went away: the worker's task leases are renewed only as long as the
 * last answered report allows, counted from before that report was sent, so that the tasks have
 * stopped before any later leader may count them as stopped.
 */
import type * as clock from '../../base/common/clock.js';
import type * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import type * as logging from '../../base/common/logging.js';
import * as task from '../../state/common/task.js';
import type * as workerContract from '../../state/common/workerContract.js';
import * as agentTasks from '../common/agentTasks.js';

/** A report as the agent sends it. */
export interface OutgoingReport {
  readonly epoch: number;
  readonly isFull: boolean;
  /** Command messages handled before this was built. */
  readonly commandCount: number;
  readonly uptimeMs: number;
  /** Stamp of the last answer from the leader of the epoch. */
  readonly stampMs?: number;
  readonly tasks: readonly task.TaskReport[];
}

/** The leader's answer. */
export interface ReportAnswer {
  readonly epoch: number;
  /** 0 where the leader may not grant. */
  readonly leaseMs: number;
  readonly stampMs: number;
  /** Period of the next reports while nothing happens. */
  readonly reportMs: number;
  readonly wantsFull: boolean;
  readonly acknowledged: readonly task.TaskToken[];
}

/** What became of one command. */
export interface CommandResult {
  readonly isAccepted: boolean;
  /** Nothing of the token runs, and nothing of it ever will. */
  readonly isGone: boolean;
  readonly reason?: string;
}

/** What the agent's task part needs. */
export interface AgentRuntimeOptions {
  readonly accelerators: number;
  readonly worker: workerContract.Worker;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  /** Period of looks at the worker, and of reports until the leader names another. */
  readonly reportMs: number;
  /** Sends a report to the leader; throws where none is known or it does not answer. */
  readonly report: (report: OutgoingReport) => Promise<ReportAnswer>;
}

/** The task part of an agent. */
export interface AgentRuntime extends disposable.Disposable {
  /**
   * @returns what the agent holds as of accepting the epoch
   * @throws AuburnliftError `staleEpoch` where a higher epoch was accepted
   */
  readonly fence: (epoch: number) => readonly task.TaskReport[];
  readonly acceptedEpoch: () => number;
  readonly uptimeMs: () => number;
  /** Command messages handled since the start. */
  readonly commandCount: () => number;
  readonly command: (
    epoch: number,
    commands: readonly task.TaskCommand[],
  ) => Promise<readonly CommandResult[]>;
  /** Tasks that hold accelerators. */
  readonly activeTasks: () => readonly task.TaskReport[];
}

/** Reports of changes alone between two whole ones. */
const FULL_EVERY = 8;

const isActive = (it: workerContract.WorkerTask): boolean =>
  it.phase === 'running' || it.phase === 'stopping';

/** Starts at the worker are repeated this often before the task counts as failed. */
const START_TRIES = 3;

const parseKey = (key: string): task.TaskToken | undefined => {
  const parts = /^(.+)\/(\d+)\/(\d+)$/.exec(key);
  const [, jobId, attempt, member] = parts ?? [];
  if (jobId === undefined) return undefined;
  return { jobId, attempt: Number(attempt), member: Number(member) };
};

/**
 * @param options - what the agent's task part needs
 * @returns the task part, already reporting
 */
export const startAgentRuntime = (options: AgentRuntimeOptions): AgentRuntime => {
  const { clock: timeSource, worker, log } = options;
  let state = agentTasks.empty(options.accelerators);
  let hasAdopted = false;
  let wantsFull = true;
  const bootedAtMs = timeSource.monotonicMs();
  let leaseUntilMs = bootedAtMs;
  let stampMs: number | undefined;
  let periodMs = options.reportMs;
  let reportDueMs = bootedAtMs;
  let retryAtMs = bootedAtMs;
  /** Phases as the leader has them, by task. */
  let told: ReadonlyMap<string, task.TaskPhase> = new Map();
  let reportsSinceFull = 0;
  let timer: disposable.Disposable | undefined;
  let isDisposed = false;
  let isTurning = false;
  let commandCount = 0;

  const nowMs = (): number => timeSource.monotonicMs();
  const uptimeMs = (): number => Math.floor(nowMs() - bootedAtMs);
  const reports = (): task.TaskReport[] => [...state.held.values()].map(agentTasks.toReport);
  const startAtWorker = async (
    effect: Extract<agentTasks.AgentEffect, { type: 'start' }>,
  ): Promise<void> => {
    for (let attempt = 1; ; attempt += 1) {
      try {
        const leaseMs = Math.max(1, leaseUntilMs - nowMs());
        await worker.start({ ...effect, leaseMs });
        return;
      } catch (thrown) {
        if (attempt >= START_TRIES) throw thrown;
      }
    }
  };
  const perform = async (effect: agentTasks.AgentEffect): Promise<void> => {
    switch (effect.type) {
      case 'start':
        await startAtWorker(effect);
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
    // The next look at the worker tells what became of it; a stop is repeated from there.
  };
  const runOne = async (epoch: number, command: task.TaskCommand): Promise<CommandResult> => {
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

  /** What the worker runs that this process did not start: it was started by an earlier boot. */
  const adopt = (usage: workerContract.WorkerUsage): void => {
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
  const renew = async (): Promise<void> => {
    const leftMs = Math.floor(leaseUntilMs - nowMs());
    const keys = [...state.held.values()]
      .filter((it) => it.phase === 'running' || it.phase === 'stopping')
      .map((it) => task.tokenKey(it.token));
    if (keys.length > 0 && leftMs > 0) await worker.renew(keys, leftMs);
  };
  const look = async (): Promise<void> => {
    const usage = await worker.report();
    if (!hasAdopted) adopt(usage);
    const seen = new Map(usage.tasks.map((it) => [it.key, it]));
    const strays = usage.tasks.filter((it) => isActive(it) && !state.held.has(it.key));
    // A start of an earlier boot of this agent may reach the worker late; nobody would renew it.
    for (const it of strays) await worker.stop(it.key, 0);
    for (const held of [...state.held.values()]) {
      const key = task.tokenKey(held.token);
      const observation = seen.get(key);
      if (observation !== undefined) state = agentTasks.observe(state, observation);
      const isStopLost = held.phase === 'stopping' && observation?.phase === 'running';
      if (isStopLost) await worker.stop(key, 0);
    }
    state = agentTasks.expire(state, nowMs());
  };
  /** The leader does not have it yet, or has not said that the task's end is durable. */
  const isNews = (it: task.TaskReport): boolean =>
    agentTasks.isEnded(it.phase) || told.get(task.tokenKey(it.token)) !== it.phase;
  const hasNews = (): boolean =>
    reports().some(
      (it) => agentTasks.isEnded(it.phase) && told.get(task.tokenKey(it.token)) !== it.phase,
    );
  /**
   * The end of a task frees accelerators that urgent work may wait for, so it is told at once. After
   * a failure a quarter of a period passes: a leader that is slow under the reports of a whole cell
   * would otherwise get them all again with each look.
   */
  const isReportDue = (): boolean =>
    nowMs() >= retryAtMs && (wantsFull || hasNews() || nowMs() >= reportDueMs);
  const tell = async (): Promise<void> => {
    const sentAtMs = nowMs();
    const epoch = state.acceptedEpoch;
    const isFull = wantsFull || reportsSinceFull >= FULL_EVERY;
    const all = reports();
    const phases = new Map(all.map((it) => [task.tokenKey(it.token), it.phase]));
    const tasks = isFull ? all : all.filter(isNews);
    // What changes while the report is under way counts as news again.
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
      retryAtMs = nowMs() + periodMs / 4;
      throw thrown;
    }
    const isCurrent = answer.epoch === epoch && epoch === state.acceptedEpoch;
    if (!isCurrent) {
      // The leader does not know what this boot has accepted; it fences before anything else.
      wantsFull = true;
      return;
    }
    leaseUntilMs = Math.max(leaseUntilMs, sentAtMs + answer.leaseMs);
    stampMs = answer.stampMs;
    periodMs = answer.reportMs;
    reportDueMs = sentAtMs + periodMs;
    reportsSinceFull = isFull ? 0 : reportsSinceFull + 1;
    wantsFull ||= answer.wantsFull;
    told = phases;
    const forgotten = answer.acknowledged.map(task.tokenKey);
    state = agentTasks.forget(state, answer.acknowledged);
    if (forgotten.length > 0) await worker.forget(forgotten);
  };
  const turn = async (): Promise<void> => {
    isTurning = true;
    try {
      await look();
      if (isReportDue()) await tell();
    } catch (thrown) {
      log('debug', 'reportFailed', { reason: errors.normalize(thrown).message });
    }
    try {
      await renew();
    } catch (thrown) {
      log('warn', 'renewFailed', { reason: errors.normalize(thrown).message });
    }
    isTurning = false;
    if (!isDisposed) schedule(options.reportMs);
  };
  const schedule = (delayMs: number): void => {
    void timer?.dispose();
    timer = timeSource.after(delayMs, () => {
      if (!isTurning) void turn();
    });
  };
  void turn();
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
      for (const command of commands) results.push(await runOne(epoch, command));
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
