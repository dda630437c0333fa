/**
 * A small model for the exploration of leadership: two leaders, two workers with one accelerator
 * each, a third agent that only confirms epochs, and one job. Decisions are those of the production
 * code; the model adds the network, the store, the workers and the time.
 *
 * One tick is one lease. Messages stay in the network forever: each may be delivered late,
 * repeatedly or never. A leader that takes no step for a while models a paused one.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as agentTasks from '../agentTasks.js';
import * as jobStateMachine from '../jobStateMachine.js';
import * as memberOutcome from '../memberOutcome.js';
import * as taskReports from '../taskReports.js';
import * as workerRegistry from '../workerRegistry.js';

import type * as scenarios from './leadershipScenario.js';

/** Duration of one tick. */
export const LEASE_MS = 10_000;

/** One agent with its worker. */
export interface Agent {
  readonly boot: number;
  readonly bootedAtMs: number;
  readonly tasks: agentTasks.AgentTasks;
  readonly leaseUntilMs: number;
  readonly stampMs: number | undefined;
  readonly commandCount: number;
  /** Tasks that actually run on the worker, with the end of their leases. */
  readonly running: readonly { readonly token: task.TaskToken; readonly untilMs: number }[];
  /** Highest epoch that any boot of the agent accepted, known only to the model. */
  readonly highestEpoch: number;
}

/** A report in flight. */
export interface Report {
  readonly agent: number;
  readonly boot: number;
  readonly epoch: number;
  readonly sentAtMs: number;
  readonly uptimeMs: number;
  readonly stampMs: number | undefined;
  readonly commandCount: number;
  readonly tasks: readonly task.TaskReport[];
}

/** A command in flight. */
export interface Command {
  readonly leader: number;
  readonly agent: number;
  readonly boot: number;
  readonly attempt: number;
  readonly effect: memberOutcome.MemberEffect;
}

/** One leader; the epochs are 1 and 2. */
export interface Leader {
  readonly isActive: boolean;
  readonly runtime: jobStateMachine.JobRuntime;
  readonly isCommitting: boolean;
  readonly entries: readonly workerRegistry.RegisteredWorker[];
  readonly majorityFencedAtMs: number | undefined;
}

/** The complete model state. */
export interface ModelState {
  readonly nowMs: number;
  readonly stored: job.JobRecord;
  readonly writerEpoch: number;
  readonly leaders: readonly Leader[];
  readonly agents: readonly Agent[];
  readonly commands: readonly Command[];
  readonly isCancelled: boolean;
  readonly restarts: number;
  /** Violation that the model detected in a transition. */
  readonly violation: string;
}

const JOB_ID = 'job';
const AGENTS = [0, 1, 2];
const VOTERS: ReadonlySet<string> = new Set(['w0', 'w1', 'w2']);
const INITIAL_UPTIME_MS = 1_000_000;

const contextOf = (leader: number): jobStateMachine.JobContext => ({
  nowMs: 0,
  configVersion: 1,
  epoch: leader + 1,
  unrunnableFailures: 3,
  badWorkerIds: new Set<string>(),
  reclaimGraceMs: 0,
});

/** Drops decision texts and failures, which affect nothing here and would multiply states. */
const withoutHistory = (runtime: jobStateMachine.JobRuntime): jobStateMachine.JobRuntime => ({
  ...runtime,
  record: { ...runtime.record, decisions: [], failures: [] },
});

const replace = <T>(items: readonly T[], at: number, item: T): readonly T[] =>
  items.map((it, index) => (index === at ? item : it));

const withLeader = (state: ModelState, at: number, change: Partial<Leader>): ModelState => {
  const before = state.leaders[at];
  if (before === undefined) return state;
  return { ...state, leaders: replace(state.leaders, at, { ...before, ...change }) };
};

const withAgent = (state: ModelState, at: number, change: Partial<Agent>): ModelState => {
  const before = state.agents[at];
  if (before === undefined) return state;
  return { ...state, agents: replace(state.agents, at, { ...before, ...change }) };
};

const withEntry = (
  state: ModelState,
  leader: number,
  agent: number,
  change: Partial<workerRegistry.RegisteredWorker>,
): ModelState => {
  const entries = state.leaders[leader]?.entries ?? [];
  const before = entries[agent];
  if (before === undefined) return state;
  return withLeader(state, leader, { entries: replace(entries, agent, { ...before, ...change }) });
};

const entryOf = (agent: number, isFenced: boolean): workerRegistry.RegisteredWorker => ({
  info: {
    workerId: `w${agent}`,
    zone: 'z',
    region: 'r',
    rack: 'k',
    accelerators: 1,
    cores: 1,
    memoryBytes: 1,
    agentUrl: `http://127.0.0.1:${agent + 1}`,
  },
  bootId: isFenced ? '1' : '',
  lastReportMs: 0,
  leaseUntilMs: isFenced ? workerRegistry.certainExpiryMs(LEASE_MS) : Number.NEGATIVE_INFINITY,
  isQuarantined: false,
  isLeaving: false,
  healthReason: '',
  commandCount: 0,
  isFenced,
  confirmedAtMs: 0,
});

/**
 * @param scenario - bounds
 * @returns the state in which the first leader has fenced all agents and the job is queued
 */
export const initialState = (scenario: scenarios.Scenario): ModelState => {
  const runtime = withoutHistory(
    jobStateMachine.accept(
      {
        jobId: JOB_ID,
        customerId: 'c',
        kind: 'k',
        cell: 'z',
        claim: 'spare',
        members: scenario.members,
        acceleratorsPerMember: 1,
        adjacency: 'zone',
        declaredRunMs: 1,
        isCheckpointable: false,
        payload: '',
      },
      contextOf(0),
    ),
  );
  const leader = (isActive: boolean): Leader => ({
    isActive,
    runtime,
    isCommitting: false,
    entries: AGENTS.map((it) => entryOf(it, isActive)),
    majorityFencedAtMs: isActive ? -100 * LEASE_MS : undefined,
  });
  return {
    nowMs: 0,
    stored: runtime.record,
    writerEpoch: 1,
    leaders: [leader(true), leader(false)],
    agents: AGENTS.map(() => ({
      boot: 1,
      bootedAtMs: -INITIAL_UPTIME_MS,
      tasks: { ...agentTasks.createAgentTasks(1), acceptedEpoch: 1 },
      leaseUntilMs: LEASE_MS,
      stampMs: 0,
      commandCount: 0,
      running: [],
      highestEpoch: 1,
    })),
    commands: [],
    isCancelled: false,
    restarts: 0,
    violation: '',
  };
};

const agentOfMember = (record: job.JobRecord, member: number): number =>
  Number((record.placement[member]?.workerId ?? 'w0').slice(1));

const includes = <T>(items: readonly T[], item: T): boolean => {
  const text = JSON.stringify(item);
  return items.some((it) => JSON.stringify(it) === text);
};

const send = (
  state: ModelState,
  leader: number,
  record: job.JobRecord,
  effect: memberOutcome.MemberEffect,
): ModelState => {
  const agent = agentOfMember(record, effect.member);
  const boot = Number(state.leaders[leader]?.entries[agent]?.bootId ?? 0);
  const command: Command = { leader, agent, boot, attempt: record.attempt, effect };
  return includes(state.commands, command)
    ? state
    : { ...state, commands: [...state.commands, command] };
};

/**
 * @param state - the state before the event
 * @param leader - index of the leader
 * @param event - a job event
 * @returns the state after the leader's step, with the commands that it sends
 */
export const dispatch = (
  state: ModelState,
  leader: number,
  event: jobStateMachine.JobEvent,
): ModelState => {
  const before = state.leaders[leader]?.runtime;
  if (before === undefined) return state;
  const { next, effects } = jobStateMachine.step(before, event, contextOf(leader));
  const placed = next.record.placement.length > 0 ? next.record : before.record;
  let after = withLeader(state, leader, { runtime: withoutHistory(next) });
  for (const effect of effects) {
    if (effect.type === 'commit') after = withLeader(after, leader, { isCommitting: true });
    else if (effect.type !== 'persist') after = send(after, leader, placed, effect);
  }
  return after;
};

const loseMissing = (
  state: ModelState,
  leader: number,
  agent: number,
  tasks: readonly task.TaskReport[],
): ModelState => {
  const runtime = state.leaders[leader]?.runtime;
  if (runtime === undefined) return state;
  return taskReports
    .missingMembers([runtime], `w${agent}`, tasks)
    .reduce(
      (after, { member }) => dispatch(after, leader, { type: 'memberLost', member, reason: '' }),
      state,
    );
};

const processTasks = (
  state: ModelState,
  leader: number,
  report: Pick<Report, 'agent' | 'boot' | 'commandCount' | 'tasks'>,
  isTakeOver: boolean,
): ModelState => {
  let after = state;
  for (const it of report.tasks) {
    const runtime = after.leaders[leader]?.runtime;
    if (runtime === undefined) break;
    const reading = taskReports.interpretTaskReport(runtime, it, isTakeOver);
    const { member } = it.token;
    if (reading.type === 'event') after = dispatch(after, leader, reading.event);
    if (reading.type === 'startOwed') {
      after = send(after, leader, runtime.record, { type: 'start', member });
    }
    if (reading.type === 'stopOwed') {
      after = send(after, leader, runtime.record, { type: 'stop', member, graceMs: 0 });
    }
    if (reading.type === 'stopStray') {
      const { attempt } = it.token;
      const effect: memberOutcome.MemberEffect = { type: 'stop', member, graceMs: 0 };
      const command = { leader, agent: report.agent, boot: report.boot, attempt, effect };
      if (!includes(after.commands, command)) {
        after = { ...after, commands: [...after.commands, command] };
      }
    }
  }
  const known = after.leaders[leader]?.entries[report.agent];
  const isOutdated = known !== undefined && report.commandCount < known.commandCount;
  return isOutdated ? after : loseMissing(after, leader, report.agent, report.tasks);
};

const registryOf = (leader: Leader): workerRegistry.WorkerRegistry =>
  new Map(leader.entries.map((it) => [it.info.workerId, it]));

const recordMajority = (state: ModelState, leader: number): ModelState => {
  const current = state.leaders[leader];
  if (current === undefined || current.majorityFencedAtMs !== undefined) return state;
  const authority = { isStoreLeaseHeld: true, voterSets: [VOTERS] };
  const isFenced = workerRegistry.hasFencedMajority(registryOf(current), authority);
  return isFenced ? withLeader(state, leader, { majorityFencedAtMs: state.nowMs }) : state;
};

/**
 * A leader fences an agent with its epoch and processes the tasks that the agent reports.
 *
 * @param isAnswered - whether the agent's answer reaches the leader
 */
export const fence = (
  state: ModelState,
  leader: number,
  agent: number,
  isAnswered: boolean,
): ModelState => {
  const target = state.agents[agent];
  if (target === undefined) return state;
  const tasks = agentTasks.fence(target.tasks, leader + 1);
  if (tasks === undefined) return withLeader(state, leader, { isActive: false });
  const isNew = tasks !== target.tasks;
  const fenced = withAgent(state, agent, {
    tasks,
    stampMs: isNew ? undefined : target.stampMs,
    highestEpoch: Math.max(target.highestEpoch, leader + 1),
  });
  if (!isAnswered) return fenced;
  const known = fenced.leaders[leader]?.entries[agent];
  const isSameBoot = known?.bootId === String(target.boot);
  const registered = withEntry(fenced, leader, agent, {
    bootId: String(target.boot),
    isFenced: true,
    commandCount: isSameBoot ? known.commandCount : 0,
    leaseUntilMs: isSameBoot
      ? known.leaseUntilMs
      : state.nowMs + workerRegistry.certainExpiryMs(LEASE_MS),
    confirmedAtMs: isSameBoot ? known.confirmedAtMs : Number.NEGATIVE_INFINITY,
  });
  const held = [...tasks.held.values()].map(agentTasks.toReport);
  const report = { agent, boot: target.boot, commandCount: target.commandCount, tasks: held };
  return processTasks(recordMajority(registered, leader), leader, report, true);
};

const mayGrant = (state: ModelState, leader: number, guards: scenarios.Guards): boolean => {
  const current = state.leaders[leader];
  if (current === undefined) return false;
  if (!guards.isMajorityNeeded) return true;
  // The first leader never reaches the store again; its lease expires within the first tick.
  const isStoreLeaseHeld = leader === 1 || state.nowMs < LEASE_MS;
  const authority = { isStoreLeaseHeld, voterSets: [VOTERS] };
  return workerRegistry.mayGrant(registryOf(current), authority, state.nowMs, LEASE_MS);
};

/** Answer of a leader to a report. */
export interface Answer {
  readonly leaseUntilMs: number;
  readonly stampMs: number;
}

/**
 * A leader processes a report of an agent that it has fenced.
 *
 * @returns the state and the answer; undefined where the leader ignores the report
 */
export const processReport = (
  state: ModelState,
  leader: number,
  report: Report,
  guards: scenarios.Guards,
): { readonly after: ModelState; readonly answer: Answer } | undefined => {
  const known = state.leaders[leader]?.entries[report.agent];
  const isKnown = known?.isFenced === true && known.bootId === String(report.boot);
  if (report.epoch !== leader + 1 || !isKnown) return undefined;
  const isVote = report.uptimeMs >= workerRegistry.votingDelayMs(LEASE_MS);
  const confirmed = withEntry(state, leader, report.agent, {
    confirmedAtMs: Math.max(known.confirmedAtMs, isVote ? (report.stampMs ?? -1) : -1),
  });
  const taken = processTasks(confirmed, leader, report, false);
  const isGranted = mayGrant(taken, leader, guards);
  const leaseUntilMs = state.nowMs + workerRegistry.certainExpiryMs(LEASE_MS);
  const after = isGranted ? withEntry(taken, leader, report.agent, { leaseUntilMs }) : taken;
  // Only the first worker runs tasks for the first leader; the others confirm its epoch.
  const isLeaseWanted = leader === 1 || report.agent === 0 || report.tasks.length > 0;
  const grantedUntilMs =
    isGranted && isLeaseWanted ? report.sentAtMs + LEASE_MS : Number.NEGATIVE_INFINITY;
  return { after, answer: { leaseUntilMs: grantedUntilMs, stampMs: state.nowMs } };
};

/** A leader declares the tasks lost on workers whose leases have certainly expired. */
export const loseExpired = (
  state: ModelState,
  leader: number,
  guards: scenarios.Guards,
): ModelState => {
  const current = state.leaders[leader];
  if (current === undefined) return state;
  const previousEndMs = guards.isPreviousLeaseAwaited
    ? workerRegistry.previousLeasesEndMs(current.majorityFencedAtMs, LEASE_MS)
    : Number.NEGATIVE_INFINITY;
  return AGENTS.reduce((after, agent) => {
    const entry = after.leaders[leader]?.entries[agent];
    const isExpired =
      entry !== undefined && workerRegistry.areLeasesExpired(entry, previousEndMs, state.nowMs);
    return isExpired ? loseMissing(after, leader, agent, []) : after;
  }, state);
};
