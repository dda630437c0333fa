/**
 * Explores every interleaving of the request protocol at small scope: one request, one entry, two
 * agents with their upstreams, and a network that loses, delays, reorders, copies and misdelivers.
 * A pause is an event that does not happen for long, so every pause is among the interleavings.
 */
import * as errors from '../../../base/common/errors.js';
import * as attemptSteps from '../attemptSteps.js';
import type * as exchange from '../exchange.js';
import * as requestRecord from '../requestRecord.js';

type Mode = exchange.ExchangeMode;
type Word = 'answer' | 'refused' | 'unknown';

/** The protocol's decisions, so that a test can plant a fault in one of them. */
export interface Rules {
  readonly meet: typeof requestRecord.meet;
  readonly afterRun: typeof attemptSteps.afterRun;
  readonly afterSettle: typeof attemptSteps.afterSettle;
  readonly worstOf: typeof attemptSteps.worstOf;
  readonly checksEcho: boolean;
  readonly barsRefusals: boolean;
}

/** The decisions as they are. */
export const SOUND: Rules = {
  ...attemptSteps,
  meet: requestRecord.meet,
  checksEcho: true,
  barsRefusals: true,
};

/** How much may go wrong in one history. */
export interface Scope {
  readonly isIdempotent: boolean;
  readonly copies: number;
  readonly agentCrashes: number;
  /** How far an agent's memory ages: 1 is past the last start, 2 past everything. */
  readonly maxPhase?: number;
}

type Message =
  | { to: 'agent'; agent: number; boot: number; attempt: number; mode: Mode }
  | { to: 'entry'; agent: number; attempt: number; mode: Mode; word: Word }
  | { to: 'upstream'; agent: number; boot: number }
  | { to: 'result'; agent: number; boot: number };

interface AgentModel {
  boot: number;
  /** 0: attempts may start; 1: they may not; 2: ends are dropped as well. */
  phase: number;
  record: 'none' | 'waiting' | 'running' | Word;
  bars: number[];
  waiters: { attempt: number; mode: Mode }[];
}

interface World {
  entry: {
    stage: Mode | 'between' | 'done' | 'dead';
    attempt: number;
    boot: number;
    worst: 'none' | 'refused' | 'unknown';
    result: 'none' | Word;
  };
  agents: AgentModel[];
  net: Message[];
  executions: number;
  /** An answer that came without its own run, or another attempt's word taken for one's own. */
  wrongWord: boolean;
  copies: number;
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

const toResult = (word: Word): attemptSteps.ExchangeResult =>
  word === 'answer' ? { type: 'answer', answer: ANSWER } : { type: 'error', error: ERRORS[word] };

const initial = (scope: Scope): World => ({
  entry: { stage: 'between', attempt: -1, boot: 0, worst: 'none', result: 'none' },
  agents: Array.from({ length: AGENTS }, () => ({
    boot: 0,
    phase: 0,
    record: 'none',
    bars: [],
    waiters: [],
  })),
  net: [],
  executions: 0,
  wrongWord: false,
  copies: scope.copies,
  crashes: scope.agentCrashes,
});

const finish = (world: World, result: Word): void => {
  world.entry.stage = 'done';
  world.entry.result = result;
};

const apply = (rules: Rules, world: World, step: attemptSteps.NextStep): void => {
  const { entry } = world;
  if (step.type === 'answer') return finish(world, 'answer');
  if (step.type === 'fail') return finish(world, 'unknown');
  if (step.type === 'settle') {
    entry.stage = 'settle';
    const { attempt, boot } = entry;
    world.net.push({ to: 'agent', agent: attempt, boot, attempt, mode: 'settle' });
    return undefined;
  }
  const before = entry.worst === 'none' ? undefined : ERRORS[entry.worst];
  const worst = rules.worstOf(before, step.error);
  entry.worst = worst.kind === 'outcomeUnknown' ? 'unknown' : 'refused';
  entry.stage = 'between';
  return undefined;
};

const hear = (
  rules: Rules,
  scope: Scope,
  world: World,
  result: attemptSteps.ExchangeResult,
): void => {
  const decide = world.entry.stage === 'run' ? rules.afterRun : rules.afterSettle;
  apply(rules, world, decide(result, scope.isIdempotent));
};

/** A reply reaches whichever exchange is open: its own, or another's by a mix-up on the way. */
const hearReply = (rules: Rules, scope: Scope, world: World, message: Message): void => {
  if (message.to !== 'entry') return;
  const { entry } = world;
  if (entry.stage !== 'run' && entry.stage !== 'settle') return;
  const isOwn = message.attempt === entry.attempt;
  if (rules.checksEcho && !isOwn) {
    hear(rules, scope, world, { type: 'noWord', error: ERRORS.unknown });
    return;
  }
  if (!isOwn) world.wrongWord = true;
  hear(rules, scope, world, toResult(message.word));
};

const reply = (world: World, agent: number, attempt: number, mode: Mode, word: Word): void => {
  world.net.push({ to: 'entry', agent, attempt, mode, word });
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

const WORDS: Readonly<Record<string, Word>> = {
  neverRan: 'refused',
  tooLate: 'refused',
  unknowable: 'unknown',
  answerDropped: 'unknown',
};

const receive = (rules: Rules, world: World, message: Message): void => {
  if (message.to !== 'agent') return;
  const agent = world.agents[message.agent];
  if (agent === undefined) return;
  const { attempt, mode } = message;
  const isBarred = agent.bars.includes(attempt);
  const head = { mode, bootId: String(message.boot), startBeforeMs: START_BEFORE_MS };
  const moment = { bootId: String(agent.boot), nowMs: PHASE_MS[agent.phase] ?? 0 };
  const { arrival, barsAttempt } = rules.meet(recordOf(agent), isBarred, head, moment);
  if (barsAttempt) agent.bars.push(attempt);
  if (arrival.type === 'run') agent.record = 'waiting';
  if (arrival.type === 'run' || arrival.type === 'attach') {
    agent.waiters.push({ attempt, mode });
    return;
  }
  const known = agent.record === 'answer' ? 'answer' : 'unknown';
  reply(world, message.agent, attempt, mode, WORDS[arrival.type] ?? known);
};

const endRun = (rules: Rules, world: World, index: number, word: Word): void => {
  const agent = world.agents[index];
  if (agent === undefined) return;
  agent.record = word === 'refused' ? 'none' : word;
  agent.waiters.forEach((it) => {
    if (word === 'refused' && rules.barsRefusals && !agent.bars.includes(it.attempt)) {
      agent.bars.push(it.attempt);
    }
    reply(world, index, it.attempt, it.mode, word);
  });
  agent.waiters = [];
};

const deliver = (rules: Rules, scope: Scope, world: World, message: Message): void => {
  if (message.to === 'agent') receive(rules, world, message);
  if (message.to === 'entry') hearReply(rules, scope, world, message);
  if (message.to === 'upstream') {
    world.executions += 1;
    world.net.push({ to: 'result', agent: message.agent, boot: message.boot });
  }
  if (message.to === 'result') {
    const agent = world.agents[message.agent];
    const isAwaited = agent?.boot === message.boot && agent.record === 'running';
    if (isAwaited) endRun(rules, world, message.agent, 'answer');
  }
};

type Event = (world: World) => void;

const sendRun =
  (isSent: boolean, rules: Rules, scope: Scope): Event =>
  (world) => {
    const { entry } = world;
    entry.attempt += 1;
    const { attempt } = entry;
    entry.boot = world.agents[attempt]?.boot ?? 0;
    entry.stage = 'run';
    if (!isSent) return hear(rules, scope, world, { type: 'notSent', error: ERRORS.refused });
    world.net.push({ to: 'agent', agent: attempt, boot: entry.boot, attempt, mode: 'run' });
    return undefined;
  };

const entryEvents = (rules: Rules, scope: Scope, world: World): Event[] => {
  const { entry } = world;
  if (entry.stage === 'done' || entry.stage === 'dead') return [];
  const die: Event = (next) => {
    next.entry.stage = 'dead';
  };
  if (entry.stage === 'between') {
    if (entry.attempt + 1 < AGENTS) {
      return [sendRun(true, rules, scope), sendRun(false, rules, scope), die];
    }
    const giveUp: Event = (next) =>
      finish(next, next.entry.worst === 'unknown' ? 'unknown' : 'refused');
    return [giveUp, die];
  }
  const timeOut: Event = (next) =>
    hear(rules, scope, next, { type: 'noWord', error: ERRORS.unknown });
  return [timeOut, die];
};

const crash =
  (index: number): Event =>
  (world) => {
    const agent = world.agents[index];
    if (agent === undefined) return;
    world.crashes -= 1;
    Object.assign(agent, { boot: agent.boot + 1, phase: 0, record: 'none', bars: [], waiters: [] });
  };

const age =
  (index: number): Event =>
  (world) => {
    const agent = world.agents[index];
    if (agent === undefined) return;
    agent.phase += 1;
    // What the table may drop at this age is dropped.
    agent.bars = [];
    const isEnded = agent.record === 'answer' || agent.record === 'unknown';
    if (agent.phase === 2 && isEnded) agent.record = 'none';
  };

const callUpstream =
  (index: number): Event =>
  (world) => {
    const agent = world.agents[index];
    if (agent === undefined) return;
    agent.record = 'running';
    world.net.push({ to: 'upstream', agent: index, boot: agent.boot });
  };

const agentEvents = (rules: Rules, scope: Scope, world: World): Event[] =>
  world.agents.flatMap((agent, index) => {
    const events: Event[] = [];
    if (agent.phase < (scope.maxPhase ?? 2)) events.push(age(index));
    if (world.crashes > 0) events.push(crash(index));
    if (agent.record === 'waiting') {
      events.push(callUpstream(index), (next) => endRun(rules, next, index, 'refused'));
    }
    if (agent.record === 'running') events.push((next) => endRun(rules, next, index, 'unknown'));
    return events;
  });

/** The way from agent to upstream stays on one VM and is one call; nothing copies it. */
const isCopied = (message: Message): boolean => message.to === 'agent' || message.to === 'entry';

const networkEvents = (rules: Rules, scope: Scope, world: World): Event[] =>
  world.net.flatMap((message, index) => {
    const take: Event = (next) => {
      next.net.splice(index, 1);
      deliver(rules, scope, next, message);
    };
    const copy: Event = (next) => {
      next.copies -= 1;
      deliver(rules, scope, next, message);
    };
    return world.copies > 0 && isCopied(message) ? [take, copy] : [take];
  });

const brokenPromise = (scope: Scope, world: World): string | undefined => {
  const { result } = world.entry;
  if (!scope.isIdempotent && world.executions > 1) return 'a request ran twice';
  if (result === 'refused' && world.executions > 0) return 'a refusal hides a run';
  if (result === 'answer' && world.executions === 0) return 'an answer without a run';
  return world.wrongWord ? "another attempt's word was taken" : undefined;
};

const cloneOf = (world: World): World => ({
  ...world,
  entry: { ...world.entry },
  agents: world.agents.map((it) => ({ ...it, bars: [...it.bars], waiters: [...it.waiters] })),
  net: [...world.net],
});

const keyOf = (message: Message): string => Object.values(message).join(',');

const agentKey = (it: AgentModel): string => {
  const waiters = it.waiters.map((one) => one.mode + String(one.attempt)).sort();
  return [it.boot, it.phase, it.record, it.bars.sort().join(''), waiters.join('')].join();
};

/** Two worlds with the same key have the same futures; the order of messages on the way is none. */
const canonical = (world: World): string =>
  [
    Object.values(world.entry).join(),
    ...world.agents.map(agentKey),
    ...world.net.map(keyOf).sort(),
    `${world.executions},${world.copies},${world.crashes},${String(world.wrongWord)}`,
  ].join(';');

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  /** Promises that some interleaving broke. */
  readonly broken: ReadonlySet<string>;
  /** Ends that callers got in some interleaving. */
  readonly results: ReadonlySet<string>;
}

/**
 * @param rules - the protocol's decisions
 * @param scope - how much may go wrong in one history
 * @param stopAt - a broken promise that is enough to end the exploration
 * @returns what all interleavings lead to
 */
export const explore = (rules: Rules, scope: Scope, stopAt?: string): Exploration => {
  const seen = new Set<string>();
  const broken = new Set<string>();
  const results = new Set<string>();
  const open: World[] = [initial(scope)];
  for (let world = open.pop(); world !== undefined; world = open.pop()) {
    const found = brokenPromise(scope, world);
    if (found !== undefined) broken.add(found);
    if (found !== undefined && found === stopAt) break;
    if (world.entry.stage === 'done') results.add(world.entry.result);
    const events = [
      ...entryEvents(rules, scope, world),
      ...agentEvents(rules, scope, world),
      ...networkEvents(rules, scope, world),
    ];
    for (const event of found === undefined ? events : []) {
      const next = cloneOf(world);
      event(next);
      const key = canonical(next);
      if (!seen.has(key)) {
        seen.add(key);
        open.push(next);
      }
    }
  }
  return { states: seen.size, broken, results };
};
