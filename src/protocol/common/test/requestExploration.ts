/**
 * Explores every interleaving of the request protocol at small scope: one request, one entry, two
 * agents with their upstreams, and a network that loses, delays, reorders, duplicates and misroutes
 * messages. A pause is a long time without an event of a process, so the interleavings include it.
 */
import * as errors from '../../../base/common/errors.js';
import * as attemptSteps from '../attemptSteps.js';
import type * as exchange from '../exchange.js';
import * as requestRecord from '../requestRecord.js';

type Mode = exchange.ExchangeMode;
type AgentReply = 'answer' | 'refused' | 'unknown';

/** The protocol's decisions, each of which a test can replace by a faulty one. */
export interface Rules {
  readonly decideArrival: typeof requestRecord.decideArrival;
  readonly afterRun: typeof attemptSteps.afterRun;
  readonly afterSettle: typeof attemptSteps.afterSettle;
  readonly errorToReport: typeof attemptSteps.errorToReport;
  readonly checksAttemptId: boolean;
  readonly tombstonesRejections: boolean;
}

/** The real decisions. */
export const REAL_RULES: Rules = {
  ...attemptSteps,
  decideArrival: requestRecord.decideArrival,
  checksAttemptId: true,
  tombstonesRejections: true,
};

/** Number of faults in one history. */
export interface Scope {
  readonly isIdempotent: boolean;
  readonly duplicates: number;
  readonly agentCrashes: number;
  /** How far an agent's clock advances: 1 is past the latest start, 2 past all retention times. */
  readonly maxPhase?: number;
}

type Message =
  | { to: 'agent'; agent: number; boot: number; attempt: number; mode: Mode }
  | { to: 'entry'; agent: number; attempt: number; mode: Mode; reply: AgentReply }
  | { to: 'upstream'; agent: number; boot: number }
  | { to: 'result'; agent: number; boot: number };

interface AgentModel {
  boot: number;
  /** 0: attempts may start; 1: they may not; 2: outcomes are dropped as well. */
  phase: number;
  record: 'none' | 'waiting' | 'running' | AgentReply;
  tombstones: number[];
  waiters: { attempt: number; mode: Mode }[];
}

interface ModelState {
  entry: {
    stage: Mode | 'between' | 'done' | 'dead';
    attempt: number;
    boot: number;
    errorSoFar: 'none' | 'refused' | 'unknown';
    result: 'none' | AgentReply;
  };
  agents: AgentModel[];
  inFlight: Message[];
  executions: number;
  /** Whether the entry accepted the reply to another attempt. */
  tookForeignReply: boolean;
  duplicates: number;
  crashes: number;
}

const START_BEFORE_MS = 10;
const PHASE_MS = [0, START_BEFORE_MS + 1, START_BEFORE_MS + requestRecord.SETTLE_WINDOW_MS + 1];
const AGENTS = 2;

const ERRORS = {
  refused: errors.fail('overloaded', 'refused'),
  unknown: errors.fail('outcomeUnknown', 'unknown'),
};
const ANSWER = { status: 200, contentType: 'text/plain', body: new Uint8Array() };

const toResult = (reply: AgentReply): attemptSteps.ExchangeResult =>
  reply === 'answer' ? { type: 'answer', answer: ANSWER } : { type: 'error', error: ERRORS[reply] };

const initial = (scope: Scope): ModelState => ({
  entry: { stage: 'between', attempt: -1, boot: 0, errorSoFar: 'none', result: 'none' },
  agents: Array.from({ length: AGENTS }, () => ({
    boot: 0,
    phase: 0,
    record: 'none',
    tombstones: [],
    waiters: [],
  })),
  inFlight: [],
  executions: 0,
  tookForeignReply: false,
  duplicates: scope.duplicates,
  crashes: scope.agentCrashes,
});

const finish = (state: ModelState, result: AgentReply): void => {
  state.entry.stage = 'done';
  state.entry.result = result;
};

const applyStep = (rules: Rules, state: ModelState, step: attemptSteps.NextStep): void => {
  const { entry } = state;
  if (step.type === 'answer') return finish(state, 'answer');
  if (step.type === 'fail') return finish(state, 'unknown');
  if (step.type === 'settle') {
    entry.stage = 'settle';
    const { attempt, boot } = entry;
    state.inFlight.push({ to: 'agent', agent: attempt, boot, attempt, mode: 'settle' });
    return undefined;
  }
  const before = entry.errorSoFar === 'none' ? undefined : ERRORS[entry.errorSoFar];
  const errorSoFar = rules.errorToReport(before, step.error);
  entry.errorSoFar = errorSoFar.kind === 'outcomeUnknown' ? 'unknown' : 'refused';
  entry.stage = 'between';
  return undefined;
};

const apply = (
  rules: Rules,
  scope: Scope,
  state: ModelState,
  result: attemptSteps.ExchangeResult,
): void => {
  const decide = state.entry.stage === 'run' ? rules.afterRun : rules.afterSettle;
  applyStep(rules, state, decide(result, scope.isIdempotent));
};

/** A reply reaches whichever exchange is open: its own, or another one if it is misrouted. */
const receiveReply = (rules: Rules, scope: Scope, state: ModelState, message: Message): void => {
  if (message.to !== 'entry') return;
  const { entry } = state;
  if (entry.stage !== 'run' && entry.stage !== 'settle') return;
  const isOwn = message.attempt === entry.attempt;
  if (rules.checksAttemptId && !isOwn) {
    apply(rules, scope, state, { type: 'noWord', error: ERRORS.unknown });
    return;
  }
  if (!isOwn) state.tookForeignReply = true;
  apply(rules, scope, state, toResult(message.reply));
};

const sendReply = (
  state: ModelState,
  agent: number,
  attempt: number,
  mode: Mode,
  reply: AgentReply,
): void => {
  state.inFlight.push({ to: 'entry', agent, attempt, mode, reply });
};

const recordOf = (agent: AgentModel): requestRecord.RequestRecord | undefined => {
  if (agent.record === 'none') return undefined;
  if (agent.record === 'waiting' || agent.record === 'running') {
    return { type: 'running', startBeforeMs: START_BEFORE_MS };
  }
  const outcome: requestRecord.Outcome =
    agent.record === 'answer'
      ? { type: 'answer', answer: ANSWER }
      : { type: 'error', error: errors.toBody(ERRORS.unknown) };
  return { type: 'ended', outcome, untilMs: Infinity };
};

const REPLIES: Readonly<Record<string, AgentReply>> = {
  neverRan: 'refused',
  tooLate: 'refused',
  unknowable: 'unknown',
  answerDropped: 'unknown',
};

const receiveAtAgent = (rules: Rules, state: ModelState, message: Message): void => {
  if (message.to !== 'agent') return;
  const agent = state.agents[message.agent];
  if (agent === undefined) return;
  const { attempt, mode } = message;
  const isTombstoned = agent.tombstones.includes(attempt);
  const header = { mode, bootId: String(message.boot), startBeforeMs: START_BEFORE_MS };
  const agentClock = { bootId: String(agent.boot), nowMs: PHASE_MS[agent.phase] ?? 0 };
  const { arrival, addsTombstone } = rules.decideArrival(
    recordOf(agent),
    isTombstoned,
    header,
    agentClock,
  );
  if (addsTombstone) agent.tombstones.push(attempt);
  if (arrival.type === 'run') agent.record = 'waiting';
  if (arrival.type === 'run' || arrival.type === 'attach') {
    agent.waiters.push({ attempt, mode });
    return;
  }
  const known = agent.record === 'answer' ? 'answer' : 'unknown';
  sendReply(state, message.agent, attempt, mode, REPLIES[arrival.type] ?? known);
};

const endRun = (rules: Rules, state: ModelState, index: number, reply: AgentReply): void => {
  const agent = state.agents[index];
  if (agent === undefined) return;
  agent.record = reply === 'refused' ? 'none' : reply;
  agent.waiters.forEach((it) => {
    if (
      reply === 'refused' &&
      rules.tombstonesRejections &&
      !agent.tombstones.includes(it.attempt)
    ) {
      agent.tombstones.push(it.attempt);
    }
    sendReply(state, index, it.attempt, it.mode, reply);
  });
  agent.waiters = [];
};

const deliver = (rules: Rules, scope: Scope, state: ModelState, message: Message): void => {
  if (message.to === 'agent') receiveAtAgent(rules, state, message);
  if (message.to === 'entry') receiveReply(rules, scope, state, message);
  if (message.to === 'upstream') {
    state.executions += 1;
    state.inFlight.push({ to: 'result', agent: message.agent, boot: message.boot });
  }
  if (message.to === 'result') {
    const agent = state.agents[message.agent];
    const isAwaited = agent?.boot === message.boot && agent.record === 'running';
    if (isAwaited) endRun(rules, state, message.agent, 'answer');
  }
};

type Event = (state: ModelState) => void;

const sendRun =
  (isSent: boolean, rules: Rules, scope: Scope): Event =>
  (state) => {
    const { entry } = state;
    entry.attempt += 1;
    const { attempt } = entry;
    entry.boot = state.agents[attempt]?.boot ?? 0;
    entry.stage = 'run';
    if (!isSent) return apply(rules, scope, state, { type: 'notSent', error: ERRORS.refused });
    state.inFlight.push({ to: 'agent', agent: attempt, boot: entry.boot, attempt, mode: 'run' });
    return undefined;
  };

const entryEvents = (rules: Rules, scope: Scope, state: ModelState): Event[] => {
  const { entry } = state;
  if (entry.stage === 'done' || entry.stage === 'dead') return [];
  const crashEntry: Event = (next) => {
    next.entry.stage = 'dead';
  };
  if (entry.stage === 'between') {
    if (entry.attempt + 1 < AGENTS) {
      return [sendRun(true, rules, scope), sendRun(false, rules, scope), crashEntry];
    }
    const abandon: Event = (next) =>
      finish(next, next.entry.errorSoFar === 'unknown' ? 'unknown' : 'refused');
    return [abandon, crashEntry];
  }
  const timeOut: Event = (next) =>
    apply(rules, scope, next, { type: 'noWord', error: ERRORS.unknown });
  return [timeOut, crashEntry];
};

const crash =
  (index: number): Event =>
  (state) => {
    const agent = state.agents[index];
    if (agent === undefined) return;
    state.crashes -= 1;
    Object.assign(agent, {
      boot: agent.boot + 1,
      phase: 0,
      record: 'none',
      tombstones: [],
      waiters: [],
    });
  };

const advancePhase =
  (index: number): Event =>
  (state) => {
    const agent = state.agents[index];
    if (agent === undefined) return;
    agent.phase += 1;
    // Drop what the table may drop in this phase.
    agent.tombstones = [];
    const isEnded = agent.record === 'answer' || agent.record === 'unknown';
    if (agent.phase === 2 && isEnded) agent.record = 'none';
  };

const callUpstream =
  (index: number): Event =>
  (state) => {
    const agent = state.agents[index];
    if (agent === undefined) return;
    agent.record = 'running';
    state.inFlight.push({ to: 'upstream', agent: index, boot: agent.boot });
  };

const agentEvents = (rules: Rules, scope: Scope, state: ModelState): Event[] =>
  state.agents.flatMap((agent, index) => {
    const events: Event[] = [];
    if (agent.phase < (scope.maxPhase ?? 2)) events.push(advancePhase(index));
    if (state.crashes > 0) events.push(crash(index));
    if (agent.record === 'waiting') {
      events.push(callUpstream(index), (next) => endRun(rules, next, index, 'refused'));
    }
    if (agent.record === 'running') events.push((next) => endRun(rules, next, index, 'unknown'));
    return events;
  });

/** A call from agent to upstream stays on one VM, so it is never duplicated. */
const canBeDuplicated = (message: Message): boolean =>
  message.to === 'agent' || message.to === 'entry';

const networkEvents = (rules: Rules, scope: Scope, state: ModelState): Event[] =>
  state.inFlight.flatMap((message, index) => {
    const deliverOnce: Event = (next) => {
      next.inFlight.splice(index, 1);
      deliver(rules, scope, next, message);
    };
    const deliverDuplicate: Event = (next) => {
      next.duplicates -= 1;
      deliver(rules, scope, next, message);
    };
    return state.duplicates > 0 && canBeDuplicated(message)
      ? [deliverOnce, deliverDuplicate]
      : [deliverOnce];
  });

const violatedInvariant = (scope: Scope, state: ModelState): string | undefined => {
  const { result } = state.entry;
  if (!scope.isIdempotent && state.executions > 1) return 'a request ran twice';
  if (result === 'refused' && state.executions > 0) return 'a rejection hides a run';
  if (result === 'answer' && state.executions === 0) return 'an answer without a run';
  return state.tookForeignReply ? "another attempt's reply was accepted" : undefined;
};

const cloneOf = (state: ModelState): ModelState => ({
  ...state,
  entry: { ...state.entry },
  agents: state.agents.map((it) => ({
    ...it,
    tombstones: [...it.tombstones],
    waiters: [...it.waiters],
  })),
  inFlight: [...state.inFlight],
});

const keyOf = (message: Message): string => Object.values(message).join(',');

const agentKey = (it: AgentModel): string => {
  const waiters = it.waiters.map((one) => one.mode + String(one.attempt)).sort();
  return [it.boot, it.phase, it.record, it.tombstones.sort().join(''), waiters.join('')].join();
};

/** States with equal keys have the same successors, whatever the order of messages in flight. */
const stateKey = (state: ModelState): string =>
  [
    Object.values(state.entry).join(),
    ...state.agents.map(agentKey),
    ...state.inFlight.map(keyOf).sort(),
    `${state.executions},${state.duplicates},${state.crashes},${String(state.tookForeignReply)}`,
  ].join(';');

/** Result of an exploration. */
export interface Exploration {
  readonly states: number;
  /** Invariants that some interleaving violates. */
  readonly broken: ReadonlySet<string>;
  /** Results that callers get in some interleaving. */
  readonly results: ReadonlySet<string>;
}

/**
 * @param rules - the protocol's decisions
 * @param scope - number of faults in one history
 * @param stopAt - a violation that ends the exploration
 * @returns the results of all interleavings
 */
export const explore = (rules: Rules, scope: Scope, stopAt?: string): Exploration => {
  const seen = new Set<string>();
  const broken = new Set<string>();
  const results = new Set<string>();
  const frontier: ModelState[] = [initial(scope)];
  for (let state = frontier.pop(); state !== undefined; state = frontier.pop()) {
    const found = violatedInvariant(scope, state);
    if (found !== undefined) broken.add(found);
    if (found !== undefined && found === stopAt) break;
    if (state.entry.stage === 'done') results.add(state.entry.result);
    const events = [
      ...entryEvents(rules, scope, state),
      ...agentEvents(rules, scope, state),
      ...networkEvents(rules, scope, state),
    ];
    for (const event of found === undefined ? events : []) {
      const next = cloneOf(state);
      event(next);
      const key = stateKey(next);
      if (!seen.has(key)) {
        seen.add(key);
        frontier.push(next);
      }
    }
  }
  return { states: seen.size, broken, results };
};
