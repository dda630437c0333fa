/**
 * A small world for the exploration of leadership: two leaders, two workers with one accelerator
 * each, a third agent that only confirms epochs, and one job. What leaders and agents decide is
 * decided by the very functions that the programs run; the model adds the network, the store, the
 * workers and the time.
 *
 * One tick is one lease. Messages stay in the network for ever: each may be delivered late, again or
 * never. A leader that takes no step for a while is a paused one.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as agentTasks from '../agentTasks.js';
import * as jobMachine from '../jobMachine.js';
import * as memberOutcome from '../memberOutcome.js';
import * as reportIntake from '../reportIntake.js';
import * as roster from '../workerRoster.js';

import type * as scenarios from './takeOverScenario.js';

/** One tick of the model. */
export const LEASE_MS = 10_000;

/** One agent with its worker. */
export interface Agent {
  readonly boot: number;
  readonly bootedAtMs: number;
  readonly tasks: agentTasks.AgentTasks;
  readonly leaseUntilMs: number;
  readonly stampMs: number | undefined;
  readonly commandCount: number;
  /** What the worker really runs, with the end of its lease. */
  readonly running: readonly { readonly token: task.TaskToken; readonly untilMs: number }[];
  /** Highest epoch that any boot of the agent accepted: the model's own memory. */
  readonly highestEpoch: number;
}

/** A report under way. */
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

/** A command under way. */
export interface Command {
  readonly leader: number;
  readonly agent: number;
  readonly boot: number;
  readonly attempt: number;
  readonly effect: memberOutcome.MemberEffect;
}

/** One leader; epochs are 1 and 2. */
export interface Leader {
  readonly isActive: boolean;
  readonly runtime: jobMachine.JobRuntime;
  readonly isCommitting: boolean;
  readonly entries: readonly roster.RosterEntry[];
  readonly majorityFencedAtMs: number | undefined;
}

/** The whole world. */
export interface World {
  readonly nowMs: number;
  readonly stored: job.JobRecord;
  readonly writerEpoch: number;
  readonly leaders: readonly Leader[];
  readonly agents: readonly Agent[];
  readonly commands: readonly Command[];
  readonly isCancelled: boolean;
  readonly restarts: number;
  /** Set by the model when something happened that must not. */
  readonly violation: string;
}

const JOB_ID = 'job';
const AGENTS = [0, 1, 2];
const VOTERS: ReadonlySet<string> = new Set(['w0', 'w1', 'w2']);
const LONG_UP_MS = 1_000_000;

const contextOf = (leader: number): jobMachine.JobContext => ({
  nowMs: 0,
  configVersion: 1,
  epoch: leader + 1,
  unrunnableFailures: 3,
  badWorkerIds: new Set<string>(),
  reclaimGraceMs: 0,
});

/** Texts for people and counts of failures don't decide anything here and would only multiply states. */
const bare = (runtime: jobMachine.JobRuntime): jobMachine.JobRuntime => ({
  ...runtime,
  record: { ...runtime.record, decisions: [], failures: [] },
});

const replace = <T>(items: readonly T[], at: number, item: T): readonly T[] =>
  items.map((it, index) => (index === at ? item : it));

const withLeader = (world: World, at: number, change: Partial<Leader>): World => {
  const before = world.leaders[at];
  if (before === undefined) return world;
  return { ...world, leaders: replace(world.leaders, at, { ...before, ...change }) };
};

const withAgent = (world: World, at: number, change: Partial<Agent>): World => {
  const before = world.agents[at];
  if (before === undefined) return world;
  return { ...world, agents: replace(world.agents, at, { ...before, ...change }) };
};

const withEntry = (
  world: World,
  leader: number,
  agent: number,
  change: Partial<roster.RosterEntry>,
): World => {
  const entries = world.leaders[leader]?.entries ?? [];
  const before = entries[agent];
  if (before === undefined) return world;
  return withLeader(world, leader, { entries: replace(entries, agent, { ...before, ...change }) });
};

const entryOf = (agent: number, isFenced: boolean): roster.RosterEntry => ({
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
  leaseUntilMs: isFenced ? roster.certainLapseMs(LEASE_MS) : Number.NEGATIVE_INFINITY,
  isQuarantined: false,
  isLeaving: false,
  healthReason: '',
  commandCount: 0,
  isFenced,
  confirmedAtMs: 0,
});

/**
 * @param scenario - bounds
 * @returns the first leader leads and has fenced all agents; the job is queued
 */
export const firstWorld = (scenario: scenarios.Scenario): World => {
  const runtime = bare(
    jobMachine.accept(
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
      bootedAtMs: -LONG_UP_MS,
      tasks: { ...agentTasks.empty(1), acceptedEpoch: 1 },
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
  world: World,
  leader: number,
  record: job.JobRecord,
  effect: memberOutcome.MemberEffect,
): World => {
  const agent = agentOfMember(record, effect.member);
  const boot = Number(world.leaders[leader]?.entries[agent]?.bootId ?? 0);
  const command: Command = { leader, agent, boot, attempt: record.attempt, effect };
  return includes(world.commands, command)
    ? world
    : { ...world, commands: [...world.commands, command] };
};

/**
 * @param world - before
 * @param leader - whose job it is
 * @param event - what happened to the job
 * @returns the world after the leader's step, with what it sends
 */
export const dispatch = (world: World, leader: number, event: jobMachine.JobEvent): World => {
  const before = world.leaders[leader]?.runtime;
  if (before === undefined) return world;
  const { next, effects } = jobMachine.step(before, event, contextOf(leader));
  const placed = next.record.placement.length > 0 ? next.record : before.record;
  let after = withLeader(world, leader, { runtime: bare(next) });
  for (const effect of effects) {
    if (effect.type === 'commit') after = withLeader(after, leader, { isCommitting: true });
    else if (effect.type !== 'persist') after = send(after, leader, placed, effect);
  }
  return after;
};

const miss = (
  world: World,
  leader: number,
  agent: number,
  tasks: readonly task.TaskReport[],
): World => {
  const runtime = world.leaders[leader]?.runtime;
  if (runtime === undefined) return world;
  return reportIntake
    .missingMembers([runtime], `w${agent}`, tasks)
    .reduce(
      (after, { member }) => dispatch(after, leader, { type: 'memberLost', member, reason: '' }),
      world,
    );
};

const takeTasks = (
  world: World,
  leader: number,
  report: Pick<Report, 'agent' | 'boot' | 'commandCount' | 'tasks'>,
  isTakeOver: boolean,
): World => {
  let after = world;
  for (const it of report.tasks) {
    const runtime = after.leaders[leader]?.runtime;
    if (runtime === undefined) break;
    const reading = reportIntake.readTask(runtime, it, isTakeOver);
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
  return isOutdated ? after : miss(after, leader, report.agent, report.tasks);
};

const rosterOf = (leader: Leader): roster.Roster =>
  new Map(leader.entries.map((it) => [it.info.workerId, it]));

const noteMajority = (world: World, leader: number): World => {
  const state = world.leaders[leader];
  if (state === undefined || state.majorityFencedAtMs !== undefined) return world;
  const authority = { isStoreLeaseHeld: true, voterSets: [VOTERS] };
  const isFenced = roster.hasFencedMajority(rosterOf(state), authority);
  return isFenced ? withLeader(world, leader, { majorityFencedAtMs: world.nowMs }) : world;
};

/**
 * A leader makes its epoch known to an agent and takes what the agent holds.
 *
 * @param isAnswered - whether the agent's answer reaches the leader
 */
export const fence = (world: World, leader: number, agent: number, isAnswered: boolean): World => {
  const target = world.agents[agent];
  if (target === undefined) return world;
  const tasks = agentTasks.fence(target.tasks, leader + 1);
  if (tasks === undefined) return withLeader(world, leader, { isActive: false });
  const isNew = tasks !== target.tasks;
  const fenced = withAgent(world, agent, {
    tasks,
    stampMs: isNew ? undefined : target.stampMs,
    highestEpoch: Math.max(target.highestEpoch, leader + 1),
  });
  if (!isAnswered) return fenced;
  const known = fenced.leaders[leader]?.entries[agent];
  const isSameBoot = known?.bootId === String(target.boot);
  const enrolled = withEntry(fenced, leader, agent, {
    bootId: String(target.boot),
    isFenced: true,
    commandCount: isSameBoot ? known.commandCount : 0,
    leaseUntilMs: isSameBoot ? known.leaseUntilMs : world.nowMs + roster.certainLapseMs(LEASE_MS),
    confirmedAtMs: isSameBoot ? known.confirmedAtMs : Number.NEGATIVE_INFINITY,
  });
  const held = [...tasks.held.values()].map(agentTasks.toReport);
  const statement = { agent, boot: target.boot, commandCount: target.commandCount, tasks: held };
  return takeTasks(noteMajority(enrolled, leader), leader, statement, true);
};

const mayGrant = (world: World, leader: number, guards: scenarios.Guards): boolean => {
  const state = world.leaders[leader];
  if (state === undefined) return false;
  if (!guards.isMajorityNeeded) return true;
  // The first leader never reaches the store again; its lease lapses within the first tick.
  const isStoreLeaseHeld = leader === 1 || world.nowMs < LEASE_MS;
  const authority = { isStoreLeaseHeld, voterSets: [VOTERS] };
  return roster.mayGrant(rosterOf(state), authority, world.nowMs, LEASE_MS);
};

/** What a leader's answer gives to the agent that reported. */
export interface Answer {
  readonly leaseUntilMs: number;
  readonly stampMs: number;
}

/**
 * A leader takes a report from an agent that it has fenced.
 *
 * @returns the world and the answer that goes back; undefined where the leader does not take it
 */
export const takeReport = (
  world: World,
  leader: number,
  report: Report,
  guards: scenarios.Guards,
): { readonly after: World; readonly answer: Answer } | undefined => {
  const known = world.leaders[leader]?.entries[report.agent];
  const isKnown = known?.isFenced === true && known.bootId === String(report.boot);
  if (report.epoch !== leader + 1 || !isKnown) return undefined;
  const isVote = report.uptimeMs >= roster.votingDelayMs(LEASE_MS);
  const confirmed = withEntry(world, leader, report.agent, {
    confirmedAtMs: Math.max(known.confirmedAtMs, isVote ? (report.stampMs ?? -1) : -1),
  });
  const taken = takeTasks(confirmed, leader, report, false);
  const isGranted = mayGrant(taken, leader, guards);
  const leaseUntilMs = world.nowMs + roster.certainLapseMs(LEASE_MS);
  const after = isGranted ? withEntry(taken, leader, report.agent, { leaseUntilMs }) : taken;
  // Only the first worker runs anything for the first leader; the others confirm its epoch.
  const isLeaseWanted = leader === 1 || report.agent === 0 || report.tasks.length > 0;
  const grantedUntilMs =
    isGranted && isLeaseWanted ? report.sentAtMs + LEASE_MS : Number.NEGATIVE_INFINITY;
  return { after, answer: { leaseUntilMs: grantedUntilMs, stampMs: world.nowMs } };
};

/** A leader looks for workers whose leases have certainly lapsed. */
export const loseLapsed = (world: World, leader: number, guards: scenarios.Guards): World => {
  const state = world.leaders[leader];
  if (state === undefined) return world;
  const formerEndMs = guards.isFormerLeaseAwaited
    ? roster.formerLeasesEndMs(state.majorityFencedAtMs, LEASE_MS)
    : Number.NEGATIVE_INFINITY;
  return AGENTS.reduce((after, agent) => {
    const entry = after.leaders[leader]?.entries[agent];
    const isLapsed = entry !== undefined && roster.isLapsed(entry, formerEndMs, world.nowMs);
    return isLapsed ? miss(after, leader, agent, []) : after;
  }, world);
};
