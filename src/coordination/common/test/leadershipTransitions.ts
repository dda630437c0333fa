/**
 * Transitions of the leadership model.
 */
import * as job from '../../../state/common/job.js';
import * as task from '../../../state/common/task.js';
import * as agentTasks from '../agentTasks.js';
import * as jobStateMachine from '../jobStateMachine.js';
import * as memberOutcome from '../memberOutcome.js';
import * as workerRegistry from '../workerRegistry.js';

import * as model from './leadershipModel.js';
import type * as scenarios from './leadershipScenario.js';

/** One possible transition, with the state after it. */
export interface Transition {
  readonly name: string;
  readonly after: model.ModelState;
}

const LEADERS = [0, 1];

const replace = <T>(items: readonly T[], at: number, item: T): readonly T[] =>
  items.map((it, index) => (index === at ? item : it));

const withAgent = (
  state: model.ModelState,
  at: number,
  change: Partial<model.Agent>,
): model.ModelState => {
  const before = state.agents[at];
  if (before === undefined) return state;
  return { ...state, agents: replace(state.agents, at, { ...before, ...change }) };
};

const withLeader = (
  state: model.ModelState,
  at: number,
  change: Partial<model.Leader>,
): model.ModelState => {
  const before = state.leaders[at];
  if (before === undefined) return state;
  return { ...state, leaders: replace(state.leaders, at, { ...before, ...change }) };
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
  state: model.ModelState,
  it: model.Command,
  effects: readonly agentTasks.AgentEffect[],
): model.ModelState => {
  const agent = state.agents[it.agent];
  if (agent === undefined) return state;
  const token = { jobId: 'job', attempt: it.attempt, member: it.effect.member };
  const others = agent.running.filter((run) => task.tokenKey(run.token) !== task.tokenKey(token));
  if (effects.some((effect) => effect.type === 'stop')) {
    return withAgent(state, it.agent, { running: others });
  }
  if (!effects.some((effect) => effect.type === 'start')) return state;
  const running = [...others, { token, untilMs: agent.leaseUntilMs }];
  const isPrevious = it.leader + 1 < agent.highestEpoch;
  const started = withAgent(state, it.agent, { running });
  return isPrevious ? { ...started, violation: 'a previous leader started a task' } : started;
};

/** Delivers a command to its agent; returns the state and the agent's answer. */
const handle = (
  state: model.ModelState,
  it: model.Command,
  scenario: scenarios.Scenario,
): { readonly after: model.ModelState; readonly outcome: memberOutcome.CommandOutcome } => {
  const agent = state.agents[it.agent];
  if (agent === undefined) return { after: state, outcome: undefined };
  const { isFencing } = scenario.guards;
  const isForBoot = it.boot === agent.boot || !isFencing;
  const epoch = isFencing ? it.leader + 1 : agent.tasks.acceptedEpoch;
  // Drops a command that is always refused from now on: neither its boot nor its epoch returns.
  const others = state.commands.filter((other) => other !== it);
  const isAlwaysRefused = epoch < agent.tasks.acceptedEpoch || it.effect.type === 'release';
  // A command for an earlier boot gets an error, which does not show the state of its task.
  if (!isForBoot) {
    return { after: { ...state, commands: others }, outcome: undefined };
  }
  const step = agentTasks.command(
    agent.tasks,
    epoch,
    commandOf(it),
    state.nowMs,
    agent.leaseUntilMs,
  );
  const handled = withAgent(state, it.agent, { tasks: step.next });
  const commands = isAlwaysRefused ? others : state.commands;
  return { after: atWorker({ ...handled, commands }, it, step.effects), outcome: step };
};

const processOutcome = (
  state: model.ModelState,
  it: model.Command,
  outcome: memberOutcome.CommandOutcome,
): model.ModelState => {
  const leader = state.leaders[it.leader];
  const entry = leader?.entries[it.agent];
  if (leader?.isActive !== true || entry === undefined) return state;
  const agent = state.agents[it.agent];
  const isCounted = outcome !== undefined && entry.bootId === String(agent?.boot);
  const commandCount = isCounted ? (agent?.commandCount ?? 0) : entry.commandCount;
  const entries = replace(leader.entries, it.agent, { ...entry, commandCount });
  const recorded = withLeader(state, it.leader, { entries });
  if (leader.runtime.record.attempt !== it.attempt) return recorded;
  const reading = memberOutcome.interpretOutcome(it.effect, outcome);
  return reading.type === 'event' ? model.dispatch(recorded, it.leader, reading.event) : recorded;
};

/** The agent observes its worker and creates a report. */
const writeReport = (
  state: model.ModelState,
  at: number,
): { readonly after: model.ModelState; readonly report: model.Report } | undefined => {
  const agent = state.agents[at];
  if (agent === undefined) return undefined;
  const running = new Set(agent.running.map((it) => task.tokenKey(it.token)));
  let tasks = agentTasks.expire(agent.tasks, state.nowMs);
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
    sentAtMs: state.nowMs,
    uptimeMs: state.nowMs - agent.bootedAtMs,
    stampMs: agent.stampMs,
    commandCount: agent.commandCount,
    tasks: [...tasks.held.values()].map(agentTasks.toReport),
  };
  return { after: withAgent(state, at, { tasks }), report };
};

const processAnswer = (
  state: model.ModelState,
  at: number,
  answer: model.Answer,
): model.ModelState => {
  const agent = state.agents[at];
  if (agent === undefined) return state;
  const leaseUntilMs = Math.max(agent.leaseUntilMs, answer.leaseUntilMs);
  const running = agent.running.map((it) => ({
    ...it,
    untilMs: leaseUntilMs > state.nowMs ? Math.max(it.untilMs, leaseUntilMs) : it.untilMs,
  }));
  return withAgent(state, at, { leaseUntilMs, stampMs: answer.stampMs, running });
};

/**
 * The agents that run no task for the first leader confirm its epoch as soon as they may. More
 * confirmations only allow the leader more, so this hides no fault and avoids most of the states.
 */
const confirmEagerly = (state: model.ModelState): model.ModelState => {
  const leader = state.leaders[0];
  if (leader === undefined) return state;
  const entries = leader.entries.map((entry, index) => {
    const agent = state.agents[index];
    if (index === 0 || agent === undefined) return entry;
    const isVoter =
      entry.isFenced &&
      entry.bootId === String(agent.boot) &&
      agent.tasks.acceptedEpoch === 1 &&
      state.nowMs - agent.bootedAtMs >= workerRegistry.votingDelayMs(model.LEASE_MS);
    return isVoter ? { ...entry, confirmedAtMs: state.nowMs } : entry;
  });
  return withLeader(state, 0, { entries });
};

/** The worker counts a lease from the arrival of a call, so it stops a task up to one tick late. */
const tick = (state: model.ModelState): model.ModelState => {
  const nowMs = state.nowMs + model.LEASE_MS;
  const agents = state.agents.map((it) => ({
    ...it,
    tasks: agentTasks.expire(it.tasks, nowMs),
    running: it.running.filter((run) => nowMs <= run.untilMs),
  }));
  return confirmEagerly({ ...state, nowMs, agents });
};

const takeOver = (state: model.ModelState): model.ModelState => ({
  ...withLeader(state, 1, { isActive: true, runtime: jobStateMachine.takeOver(state.stored) }),
  writerEpoch: 2,
});

const restart = (state: model.ModelState, at: number): model.ModelState => {
  const agent = state.agents[at];
  if (agent === undefined) return state;
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
    ...agentTasks.createAgentTasks(1),
    held: new Map(held.map((it) => [task.tokenKey(it.token), it])),
  };
  const fresh = { boot: agent.boot + 1, bootedAtMs: state.nowMs, leaseUntilMs: state.nowMs };
  const change = { ...fresh, tasks, stampMs: undefined, commandCount: 0 };
  return { ...withAgent(state, at, change), restarts: state.restarts + 1 };
};

const commits = (state: model.ModelState, at: number): Transition[] => {
  const leader = state.leaders[at];
  if (leader?.isCommitting !== true) return [];
  const { record } = leader.runtime;
  const settled = withLeader(state, at, { isCommitting: false });
  const failed = model.dispatch(settled, at, { type: 'commitFailed', reason: '' });
  if (state.writerEpoch !== at + 1) {
    return [{ name: `commit ${at} refused`, after: withLeader(failed, at, { isActive: false }) }];
  }
  const written = { ...settled, stored: record };
  // No leader follows the second one, so what it writes is never read.
  if (at === 1) {
    return [{ name: 'commit 1', after: model.dispatch(settled, 1, { type: 'committed' }) }];
  }
  return [
    { name: `commit ${at}`, after: model.dispatch(written, at, { type: 'committed' }) },
    { name: `commit ${at} lost`, after: { ...failed, stored: record } },
    { name: `commit ${at} failed`, after: failed },
  ];
};

const plans = (state: model.ModelState, at: number, scenario: scenarios.Scenario): Transition[] => {
  const leader = state.leaders[at];
  if (leader === undefined) return [];
  const { record } = leader.runtime;
  const maxAttempts = at === 0 && scenario.isCommitted ? 1 : scenario.maxAttempts;
  if (record.state !== job.JobState.queued || record.attempt >= maxAttempts) return [];
  // Places a later attempt on the other worker, where only the leases prevent an overlap.
  const choices = scenario.members === 2 ? [[0, 1]] : [[record.attempt % 2]];
  return choices
    .filter((agents) => agents.every((it) => leader.entries[it]?.isFenced === true))
    .map((agents) => ({
      name: `plan ${at} on ${agents.join()}`,
      after: model.dispatch(state, at, {
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
  state: model.ModelState,
  at: number,
  index: number,
  scenario: scenarios.Scenario,
): { readonly answered: model.ModelState; readonly lost: model.ModelState } | undefined => {
  const written = writeReport(state, index);
  if (written === undefined) return undefined;
  const taken = model.processReport(written.after, at, written.report, scenario.guards);
  if (taken === undefined) return undefined;
  return { answered: processAnswer(taken.after, index, taken.answer), lost: taken.after };
};

/** Exchanges between a leader and an agent that reach each other; answers may be lost. */
const exchanges = (
  state: model.ModelState,
  at: number,
  agent: model.Agent,
  index: number,
  scenario: scenarios.Scenario,
): Transition[] => {
  const transitions: Transition[] = [];
  const entry = state.leaders[at]?.entries[index];
  const isKnown = entry?.isFenced === true && entry.bootId === String(agent.boot);
  // The first leader never discovers the second one, which is the worst case.
  const isFencedByNewer = agent.tasks.acceptedEpoch > at + 1;
  if (!isFencedByNewer && (!isKnown || agent.tasks.acceptedEpoch !== at + 1)) {
    transitions.push({ name: `fence ${at} ${index}`, after: model.fence(state, at, index, true) });
    if (index === 0 && scenario.hasLostReports) {
      transitions.push({ name: `fence ${at} 0 (lost)`, after: model.fence(state, at, 0, false) });
    }
  }
  // See confirmEagerly.
  if (scenario.members === 1 && at === 0 && index > 0) return transitions;
  const once = reportOnce(state, at, index, scenario);
  if (once === undefined) return transitions;
  // Reports twice: only the second report contains the stamp from the answer to the first.
  const twice = reportOnce(once.answered, at, index, scenario);
  transitions.push({ name: `report ${index}`, after: twice?.answered ?? once.answered });
  if (index === 0 && scenario.hasLostReports) {
    transitions.push({ name: 'report 0 (lost)', after: once.lost });
  }
  return transitions;
};

const leaderTransitions = (
  state: model.ModelState,
  at: number,
  scenario: scenarios.Scenario,
): Transition[] => {
  const leader = state.leaders[at];
  if (leader?.isActive !== true) return [];
  const transitions = [...plans(state, at, scenario), ...commits(state, at)];
  const { state: jobState } = leader.runtime.record;
  const isPersistable = jobState === job.JobState.queued || job.isTerminal(jobState);
  if (at === 0 && state.writerEpoch === 1 && !leader.isCommitting && isPersistable) {
    transitions.push({ name: 'persist', after: { ...state, stored: leader.runtime.record } });
  }
  transitions.push({ name: `expire ${at}`, after: model.loseExpired(state, at, scenario.guards) });
  state.agents.forEach((agent, index) =>
    transitions.push(...exchanges(state, at, agent, index, scenario)),
  );
  if (scenario.hasCancel && !state.isCancelled) {
    const after = model.dispatch({ ...state, isCancelled: true }, at, { type: 'cancel' });
    transitions.push({ name: `cancel ${at}`, after });
  }
  return transitions;
};

/**
 * @param state - the current state
 * @param scenario - bounds
 * @returns all possible transitions
 */
export const transitionsOf = (
  state: model.ModelState,
  scenario: scenarios.Scenario,
): readonly Transition[] => {
  const transitions = LEADERS.flatMap((at) => leaderTransitions(state, at, scenario));
  for (const it of state.commands) {
    const name = `${it.effect.type} ${it.attempt}/${it.effect.member} of ${it.leader}`;
    const { after, outcome } = handle(state, it, scenario);
    transitions.push({ name, after: processOutcome(after, it, outcome) });
    const isAnswerWanted = it.effect.type === 'reserve' || it.effect.type === 'start';
    if (isAnswerWanted) {
      transitions.push({
        name: `${name} (answer lost)`,
        after: processOutcome(after, it, undefined),
      });
    }
  }
  state.agents.forEach((_agent, at) => {
    if (state.restarts < scenario.maxRestarts) {
      transitions.push({ name: `restart ${at}`, after: restart(state, at) });
    }
  });
  if (state.nowMs < scenario.maxTicks * model.LEASE_MS) {
    transitions.push({ name: 'tick', after: tick(state) });
  }
  if (!scenario.hasTakeOver) return transitions;
  const isLeaseFree = state.nowMs >= model.LEASE_MS && state.leaders[1]?.isActive === false;
  if (isLeaseFree && state.writerEpoch === 1) {
    transitions.push({ name: 'take over', after: takeOver(state) });
  }
  return transitions;
};

/**
 * @param scenario - bounds
 * @returns the initial state of the exploration
 */
export const initialStateOf = (scenario: scenarios.Scenario): model.ModelState => {
  const state = model.initialState(scenario);
  if (!scenario.isCommitted) return state;
  const [planned] = plans(state, 0, scenario);
  if (planned === undefined) return state;
  let { after } = planned;
  for (const it of after.commands) {
    const handled = handle(after, it, scenario);
    after = processOutcome(handled.after, it, handled.outcome);
  }
  const [committed] = commits({ ...after, commands: [] }, 0);
  return committed?.after ?? state;
};
