/**
 * Everything that can happen next in the small world of `takeOverModel`.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as agentTasks from '../agentTasks.js';
import * as jobMachine from '../jobMachine.js';
import * as memberOutcome from '../memberOutcome.js';
import * as roster from '../workerRoster.js';

import * as model from './takeOverModel.js';
import type * as scenarios from './takeOverScenario.js';

/** One thing that can happen, with the world after it. */
export interface Move {
  readonly name: string;
  readonly after: model.World;
}

const LEADERS = [0, 1];

const replace = <T>(items: readonly T[], at: number, item: T): readonly T[] =>
  items.map((it, index) => (index === at ? item : it));

const withAgent = (world: model.World, at: number, change: Partial<model.Agent>): model.World => {
  const before = world.agents[at];
  if (before === undefined) return world;
  return { ...world, agents: replace(world.agents, at, { ...before, ...change }) };
};

const withLeader = (world: model.World, at: number, change: Partial<model.Leader>): model.World => {
  const before = world.leaders[at];
  if (before === undefined) return world;
  return { ...world, leaders: replace(world.leaders, at, { ...before, ...change }) };
};

const commandOf = (it: model.Command): task.TaskCommand => {
  const token = { jobId: 'job', attempt: it.attempt, member: it.effect.member };
  switch (it.effect.type) {
    case 'reserve':
      return { type: 'reserve', token, accelerators: [0], leaseMs: model.LEASE_MS };
    case 'start':
      return { type: 'start', token, resumeFromMs: 0, payload: '' };
    case 'stop':
      return { type: 'stop', token, graceMs: 0 };
    default:
      return { type: 'release', token };
  }
};

const atWorker = (
  world: model.World,
  it: model.Command,
  effects: readonly agentTasks.AgentEffect[],
): model.World => {
  const agent = world.agents[it.agent];
  if (agent === undefined) return world;
  const token = { jobId: 'job', attempt: it.attempt, member: it.effect.member };
  const others = agent.running.filter((run) => task.tokenKey(run.token) !== task.tokenKey(token));
  if (effects.some((effect) => effect.type === 'stop')) {
    return withAgent(world, it.agent, { running: others });
  }
  if (!effects.some((effect) => effect.type === 'start')) return world;
  const running = [...others, { token, untilMs: agent.leaseUntilMs }];
  const isOld = it.leader + 1 < agent.highestEpoch;
  const started = withAgent(world, it.agent, { running });
  return isOld ? { ...started, violation: 'an old leader started a task' } : started;
};

/** The command reaches its agent; gives the world and the agent's answer. */
const handle = (
  world: model.World,
  it: model.Command,
  scenario: scenarios.Scenario,
): { readonly after: model.World; readonly outcome: memberOutcome.CommandOutcome } => {
  const agent = world.agents[it.agent];
  if (agent === undefined) return { after: world, outcome: undefined };
  const { isFencing } = scenario.guards;
  const isForBoot = it.boot === agent.boot || !isFencing;
  const epoch = isFencing ? it.leader + 1 : agent.tasks.acceptedEpoch;
  // Refused for good: neither the boot nor the epoch ever comes back.
  const others = world.commands.filter((other) => other !== it);
  const isDead = epoch < agent.tasks.acceptedEpoch || it.effect.type === 'release';
  // A command for an earlier boot is answered with an error, which says nothing of its task.
  if (!isForBoot) {
    return { after: { ...world, commands: others }, outcome: undefined };
  }
  const step = agentTasks.command(
    agent.tasks,
    epoch,
    commandOf(it),
    world.nowMs,
    agent.leaseUntilMs,
  );
  const handled = withAgent(world, it.agent, { tasks: step.next });
  const commands = isDead ? others : world.commands;
  return { after: atWorker({ ...handled, commands }, it, step.effects), outcome: step };
};

const takeOutcome = (
  world: model.World,
  it: model.Command,
  outcome: memberOutcome.CommandOutcome,
): model.World => {
  const leader = world.leaders[it.leader];
  const entry = leader?.entries[it.agent];
  if (leader?.isActive !== true || entry === undefined) return world;
  const agent = world.agents[it.agent];
  const isCounted = outcome !== undefined && entry.bootId === String(agent?.boot);
  const commandCount = isCounted ? (agent?.commandCount ?? 0) : entry.commandCount;
  const entries = replace(leader.entries, it.agent, { ...entry, commandCount });
  const noted = withLeader(world, it.leader, { entries });
  if (leader.runtime.record.attempt !== it.attempt) return noted;
  const reading = memberOutcome.readOutcome(it.effect, outcome);
  return reading.type === 'event' ? model.dispatch(noted, it.leader, reading.event) : noted;
};

/** The agent looks at its worker and writes a report. */
const writeReport = (
  world: model.World,
  at: number,
): { readonly after: model.World; readonly report: model.Report } | undefined => {
  const agent = world.agents[at];
  if (agent === undefined) return undefined;
  const running = new Set(agent.running.map((it) => task.tokenKey(it.token)));
  let tasks = agentTasks.expire(agent.tasks, world.nowMs);
  for (const [key, held] of tasks.held) {
    const isOver = held.phase === 'running' || held.phase === 'stopping';
    if (!isOver || running.has(key)) continue;
    const seen = { key, phase: task.TaskPhase.stopped, progressMs: 0, checkpointMs: 0, reason: '' };
    tasks = agentTasks.observe(tasks, seen);
  }
  const report: model.Report = {
    agent: at,
    boot: agent.boot,
    epoch: agent.tasks.acceptedEpoch,
    sentAtMs: world.nowMs,
    uptimeMs: world.nowMs - agent.bootedAtMs,
    stampMs: agent.stampMs,
    commandCount: agent.commandCount,
    tasks: [...tasks.held.values()].map(agentTasks.toReport),
  };
  return { after: withAgent(world, at, { tasks }), report };
};

const takeAnswer = (world: model.World, at: number, answer: model.Answer): model.World => {
  const agent = world.agents[at];
  if (agent === undefined) return world;
  const leaseUntilMs = Math.max(agent.leaseUntilMs, answer.leaseUntilMs);
  const running = agent.running.map((it) => ({
    ...it,
    untilMs: leaseUntilMs > world.nowMs ? Math.max(it.untilMs, leaseUntilMs) : it.untilMs,
  }));
  return withAgent(world, at, { leaseUntilMs, stampMs: answer.stampMs, running });
};

/**
 * The agents that run nothing for the first leader confirm its epoch as soon as they may. The more
 * confirmations it has, the more it may do, so this hides no fault and saves most of the states.
 */
const confirmEagerly = (world: model.World): model.World => {
  const leader = world.leaders[0];
  if (leader === undefined) return world;
  const entries = leader.entries.map((entry, index) => {
    const agent = world.agents[index];
    if (index === 0 || agent === undefined) return entry;
    const isVoter =
      entry.isFenced &&
      entry.bootId === String(agent.boot) &&
      agent.tasks.acceptedEpoch === 1 &&
      world.nowMs - agent.bootedAtMs >= roster.votingDelayMs(model.LEASE_MS);
    return isVoter ? { ...entry, confirmedAtMs: world.nowMs } : entry;
  });
  return withLeader(world, 0, { entries });
};

/** The worker counts from the arrival of a call, so it stops a task up to one tick late. */
const tick = (world: model.World): model.World => {
  const nowMs = world.nowMs + model.LEASE_MS;
  const agents = world.agents.map((it) => ({
    ...it,
    tasks: agentTasks.expire(it.tasks, nowMs),
    running: it.running.filter((run) => nowMs <= run.untilMs),
  }));
  return confirmEagerly({ ...world, nowMs, agents });
};

const takeOver = (world: model.World): model.World => ({
  ...withLeader(world, 1, { isActive: true, runtime: jobMachine.takeOver(world.stored) }),
  writerEpoch: 2,
});

const restart = (world: model.World, at: number): model.World => {
  const agent = world.agents[at];
  if (agent === undefined) return world;
  const held = agent.running.map(({ token }) => ({
    token,
    phase: task.TaskPhase.running,
    accelerators: [0],
    reservedUntilMs: 0,
    progressMs: 0,
    checkpointMs: 0,
    reason: '',
  }));
  const tasks = {
    ...agentTasks.empty(1),
    held: new Map(held.map((it) => [task.tokenKey(it.token), it])),
  };
  const fresh = { boot: agent.boot + 1, bootedAtMs: world.nowMs, leaseUntilMs: world.nowMs };
  const change = { ...fresh, tasks, stampMs: undefined, commandCount: 0 };
  return { ...withAgent(world, at, change), restarts: world.restarts + 1 };
};

const commits = (world: model.World, at: number): Move[] => {
  const leader = world.leaders[at];
  if (leader?.isCommitting !== true) return [];
  const { record } = leader.runtime;
  const settled = withLeader(world, at, { isCommitting: false });
  const failed = model.dispatch(settled, at, { type: 'commitFailed', reason: '' });
  if (world.writerEpoch !== at + 1) {
    return [{ name: `commit ${at} refused`, after: withLeader(failed, at, { isActive: false }) }];
  }
  const written = { ...settled, stored: record };
  // Nobody leads after the second leader, so what it writes is never read.
  if (at === 1) {
    return [{ name: 'commit 1', after: model.dispatch(settled, 1, { type: 'committed' }) }];
  }
  return [
    { name: `commit ${at}`, after: model.dispatch(written, at, { type: 'committed' }) },
    { name: `commit ${at} lost`, after: { ...failed, stored: record } },
    { name: `commit ${at} failed`, after: failed },
  ];
};

const plans = (world: model.World, at: number, scenario: scenarios.Scenario): Move[] => {
  const leader = world.leaders[at];
  if (leader === undefined) return [];
  const { record } = leader.runtime;
  const maxAttempts = at === 0 && scenario.isCommitted ? 1 : scenario.maxAttempts;
  if (record.state !== job.JobState.queued || record.attempt >= maxAttempts) return [];
  // A later attempt goes to the other worker, where nothing but the leases keeps the two apart.
  const choices = scenario.members === 2 ? [[0, 1]] : [[record.attempt % 2]];
  return choices
    .filter((agents) => agents.every((it) => leader.entries[it]?.isFenced === true))
    .map((agents) => ({
      name: `plan ${at} on ${agents.join()}`,
      after: model.dispatch(world, at, {
        type: 'planned',
        ruleId: undefined,
        why: '',
        placement: agents.map((agent, member) => ({
          member,
          workerId: `w${agent}`,
          accelerators: [0],
        })),
      }),
    }));
};

const reportOnce = (
  world: model.World,
  at: number,
  index: number,
  scenario: scenarios.Scenario,
): { readonly answered: model.World; readonly lost: model.World } | undefined => {
  const written = writeReport(world, index);
  if (written === undefined) return undefined;
  const taken = model.takeReport(written.after, at, written.report, scenario.guards);
  if (taken === undefined) return undefined;
  return { answered: takeAnswer(taken.after, index, taken.answer), lost: taken.after };
};

/** What a leader and an agent that reach each other do; answers may be lost. */
const meetings = (
  world: model.World,
  at: number,
  agent: model.Agent,
  index: number,
  scenario: scenarios.Scenario,
): Move[] => {
  const moves: Move[] = [];
  const entry = world.leaders[at]?.entries[index];
  const isKnown = entry?.isFenced === true && entry.bootId === String(agent.boot);
  // The first leader never learns of the second one: that is the worst it can do.
  const isHopeless = agent.tasks.acceptedEpoch > at + 1;
  if (!isHopeless && (!isKnown || agent.tasks.acceptedEpoch !== at + 1)) {
    moves.push({ name: `fence ${at} ${index}`, after: model.fence(world, at, index, true) });
    if (index === 0 && scenario.hasLostReports) {
      moves.push({ name: `fence ${at} 0 (lost)`, after: model.fence(world, at, 0, false) });
    }
  }
  // See confirmEagerly.
  if (scenario.members === 1 && at === 0 && index > 0) return moves;
  const once = reportOnce(world, at, index, scenario);
  if (once === undefined) return moves;
  // Two in a row: only the second brings the stamp that the first was answered with.
  const twice = reportOnce(once.answered, at, index, scenario);
  moves.push({ name: `report ${index}`, after: twice?.answered ?? once.answered });
  if (index === 0 && scenario.hasLostReports) {
    moves.push({ name: 'report 0 (lost)', after: once.lost });
  }
  return moves;
};

const leaderMoves = (world: model.World, at: number, scenario: scenarios.Scenario): Move[] => {
  const leader = world.leaders[at];
  if (leader?.isActive !== true) return [];
  const moves = [...plans(world, at, scenario), ...commits(world, at)];
  const { state } = leader.runtime.record;
  const isWorthKeeping = state === job.JobState.queued || job.isTerminal(state);
  if (at === 0 && world.writerEpoch === 1 && !leader.isCommitting && isWorthKeeping) {
    moves.push({ name: 'persist', after: { ...world, stored: leader.runtime.record } });
  }
  moves.push({ name: `lapse ${at}`, after: model.loseLapsed(world, at, scenario.guards) });
  world.agents.forEach((agent, index) =>
    moves.push(...meetings(world, at, agent, index, scenario)),
  );
  if (scenario.hasCancel && !world.isCancelled) {
    const after = model.dispatch({ ...world, isCancelled: true }, at, { type: 'cancel' });
    moves.push({ name: `cancel ${at}`, after });
  }
  return moves;
};

/**
 * @param world - now
 * @param scenario - bounds
 * @returns everything that can happen next
 */
export const movesOf = (world: model.World, scenario: scenarios.Scenario): readonly Move[] => {
  const moves = LEADERS.flatMap((at) => leaderMoves(world, at, scenario));
  for (const it of world.commands) {
    const name = `${it.effect.type} ${it.attempt}/${it.effect.member} of ${it.leader}`;
    const { after, outcome } = handle(world, it, scenario);
    moves.push({ name, after: takeOutcome(after, it, outcome) });
    const isAnswerWanted = it.effect.type === 'reserve' || it.effect.type === 'start';
    if (isAnswerWanted) {
      moves.push({ name: `${name} (answer lost)`, after: takeOutcome(after, it, undefined) });
    }
  }
  world.agents.forEach((_agent, at) => {
    if (world.restarts < scenario.maxRestarts) {
      moves.push({ name: `restart ${at}`, after: restart(world, at) });
    }
  });
  if (world.nowMs < scenario.maxTicks * model.LEASE_MS) {
    moves.push({ name: 'tick', after: tick(world) });
  }
  if (!scenario.hasTakeOver) return moves;
  const isLeaseFree = world.nowMs >= model.LEASE_MS && world.leaders[1]?.isActive === false;
  if (isLeaseFree && world.writerEpoch === 1) {
    moves.push({ name: 'take over', after: takeOver(world) });
  }
  return moves;
};

/**
 * @param scenario - bounds
 * @returns the world in which the exploration begins
 */
export const beginningOf = (scenario: scenarios.Scenario): model.World => {
  const world = model.firstWorld(scenario);
  if (!scenario.isCommitted) return world;
  const [planned] = plans(world, 0, scenario);
  if (planned === undefined) return world;
  let { after } = planned;
  for (const it of after.commands) {
    const handled = handle(after, it, scenario);
    after = takeOutcome(handled.after, it, handled.outcome);
  }
  const [committed] = commits({ ...after, commands: [] }, 0);
  return committed?.after ?? world;
};
