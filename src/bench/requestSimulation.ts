/**
 * Simulates request handling in virtual time: routing at entries, admission at agents and service at
 * upstreams. All random choices come from a seed.
 */
import * as random from '../base/common/random.js';
import * as admission from '../coordination/common/admission.js';
import * as agentDirectory from '../coordination/common/agentDirectory.js';
import * as requestBudgets from '../coordination/common/requestBudgets.js';
import * as routing from '../coordination/common/routing.js';
import * as eventQueue from './eventQueue.js';

/** Routing strategies of an entry that are compared. */
export const Strategy = {
  weighed: 'weighed',
  roundRobin: 'roundRobin',
  random: 'random',
  leastOutstanding: 'leastOutstanding',
} as const;

/** One of the values of {@link Strategy}. */
export type Strategy = (typeof Strategy)[keyof typeof Strategy];

/** Parameters of a simulation. */
export interface Scenario {
  readonly strategy: Strategy;
  /** Whether agents apply admission control; without it every request is queued, however late. */
  readonly hasAdmission: boolean;
  readonly order: admission.QueueOrder;
  /** Offered work as a multiple of the total capacity of the upstreams. */
  readonly load: number;
  /** Number of upstreams in each region. */
  readonly upstreams: readonly number[];
  /** Share of the work that arrives in each region; by default its share of the upstreams. */
  readonly demand?: readonly number[];
  /** Slowdown of the first upstream of the first region. */
  readonly slowFactor: number;
  readonly deadlineMs: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Results of a simulation as seen by callers. */
export interface Outcome {
  readonly offered: number;
  /** Answers within the deadline per second, after the warm-up. */
  readonly goodput: number;
  readonly capacity: number;
  readonly refused: number;
  readonly late: number;
  readonly sent: number;
  readonly crossRegion: number;
  readonly latenciesMs: readonly number[];
  /** Number of requests answered within the deadline, by customer. */
  readonly answeredBy: ReadonlyMap<string, number>;
}

const SLOTS = 8;
const MAX_QUEUED = 64;
const SHORT_MS = 20;
const LONG_MS = 120;
const LONG_SHARE = 0.2;

/** Mean service time of the mix of short and long requests. */
export const MEAN_SERVICE_MS = SHORT_MS * (1 - LONG_SHARE) + LONG_MS * LONG_SHARE;

const LOCAL_DELAY_MS = 1;
const REMOTE_DELAY_MS = 20;
const WARM_UP_MS = 2000;
const REGISTER_MS = 2000;
const CUSTOMERS = ['a', 'b', 'c', 'd'] as const;
const POLICY = { crossRegionPriceMs: 250, crossRegionMaxShare: 0.05, retryBudgetShare: 0.1 };
const INITIAL_CREDIT = 10;

interface Request {
  readonly id: string;
  readonly customerId: string;
  readonly region: number;
  readonly bornMs: number;
  readonly serviceMs: number;
  readonly excludedUrls: Set<string>;
}

interface Agent {
  readonly url: string;
  readonly region: number;
  readonly slowFactor: number;
  load: admission.AdmissionState;
  readonly waiting: Map<string, { request: Request; entry: Entry }>;
  /** All requests received, when there is no admission control; as many run as there are slots. */
  readonly backlog: { request: Request; entry: Entry }[];
  served: number;
  finished: number;
}

interface Entry {
  readonly region: number;
  readonly directory: agentDirectory.AgentDirectory;
  readonly retries: requestBudgets.Budget;
  readonly crossings: requestBudgets.Budget;
  turn: number;
}

const regionName = (region: number): string => `region-${region}`;

const registrationOf = (agent: Agent): agentDirectory.Registration => ({
  agentId: agent.url,
  bootId: 'boot',
  clockMs: 0,
  url: agent.url,
  zone: `${regionName(agent.region)}-a`,
  region: regionName(agent.region),
  isLeaving: false,
  upstream: {
    upstreamId: agent.url,
    slots: SLOTS,
    connections: 64,
    isLeaving: false,
    running: agent.load.running.length,
    queued: agent.load.queue.length,
    serviceMs: agent.load.serviceMs,
  },
  configVersion: 1,
});

/**
 * @param scenario - parameters of the simulation
 * @returns results as seen by callers
 */
export const simulate = (scenario: Scenario): Outcome => {
  const events = eventQueue.createEventQueue();
  const next = random.createRandom(scenario.seed);
  const limits: admission.AdmissionLimits = {
    maxQueued: MAX_QUEUED,
    order: scenario.order,
    shareOf: () => admission.DEFAULT_SHARE,
  };
  const agents: Agent[] = scenario.upstreams.flatMap((count, region) =>
    Array.from({ length: count }, (_, index) => ({
      url: `http://${region}.${index}:1`,
      region,
      slowFactor: region === 0 && index === 0 ? scenario.slowFactor : 1,
      load: admission.idle(SLOTS),
      waiting: new Map(),
      backlog: [],
      served: 0,
      finished: 0,
    })),
  );
  const byUrl = new Map(agents.map((it) => [it.url, it]));
  const entries: Entry[] = scenario.upstreams.map((_, region) => {
    const directory = agentDirectory.createAgentDirectory();
    agents
      .filter((it) => it.region === region)
      .forEach((it) => directory.register(registrationOf(it), -WARM_UP_MS * 10));
    return {
      region,
      directory,
      retries: requestBudgets.createBudget(INITIAL_CREDIT),
      crossings: requestBudgets.createBudget(INITIAL_CREDIT),
      turn: 0,
    };
  });
  const capacity = (agents.length * SLOTS * 1000) / MEAN_SERVICE_MS;
  const totals = { offered: 0, good: 0, refused: 0, late: 0, sent: 0, crossRegion: 0 };
  const latenciesMs: number[] = [];
  const answeredBy = new Map<string, number>();
  const isCounted = (request: Request): boolean => request.bornMs >= WARM_UP_MS;
  const delayMs = (entry: Entry, agent: Agent): number =>
    entry.region === agent.region ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;

  const finish = (request: Request, entry: Entry): void => {
    entry.retries.earn(POLICY.retryBudgetShare);
    if (events.nowMs() < WARM_UP_MS) return;
    const tookMs = events.nowMs() - request.bornMs;
    if (tookMs > scenario.deadlineMs) {
      totals.late += 1;
      return;
    }
    totals.good += 1;
    latenciesMs.push(tookMs);
    answeredBy.set(request.customerId, (answeredBy.get(request.customerId) ?? 0) + 1);
  };
  const reply = (agent: Agent, entry: Entry, then: () => void): void => {
    const { running, queue, serviceMs } = agent.load;
    const agentLoad = {
      running: running.length + agent.served - agent.finished,
      queued: queue.length + agent.backlog.length - agent.served,
      serviceMs,
      isLeaving: false,
      bootId: 'boot',
      clockMs: 0,
    };
    events.at(events.nowMs() + delayMs(entry, agent), () => {
      entry.directory.addOutstanding(agent.url, -1);
      entry.directory.recordAnswer(agent.url, agentLoad, events.nowMs());
      then();
    });
  };
  const run = (agent: Agent, request: Request, entry: Entry): void => {
    const heldMs = request.serviceMs * agent.slowFactor;
    events.at(events.nowMs() + heldMs, () => {
      const step = admission.release(agent.load, limits, request.id, events.nowMs(), heldMs);
      agent.load = step.next;
      reply(agent, entry, () => finish(request, entry));
      step.started.forEach((it) => dequeue(agent, it.requestId, true));
      step.expired.forEach((it) => dequeue(agent, it.requestId, false));
    });
  };
  const refuse = (agent: Agent, request: Request, entry: Entry): void =>
    reply(agent, entry, () => {
      request.excludedUrls.add(agent.url);
      if (entry.retries.take()) route(request, entry);
      else if (isCounted(request)) totals.refused += 1;
    });
  const dequeue = (agent: Agent, requestId: string, isStarted: boolean): void => {
    const held = agent.waiting.get(requestId);
    agent.waiting.delete(requestId);
    if (held === undefined) return;
    if (isStarted) run(agent, held.request, held.entry);
    else refuse(agent, held.request, held.entry);
  };
  const serveBacklog = (agent: Agent): void => {
    const first = agent.backlog[agent.served];
    if (first === undefined || agent.served - agent.finished >= SLOTS) return;
    agent.served += 1;
    events.at(events.nowMs() + first.request.serviceMs * agent.slowFactor, () => {
      agent.finished += 1;
      reply(agent, first.entry, () => finish(first.request, first.entry));
      serveBacklog(agent);
    });
  };
  const arrive = (agent: Agent, request: Request, entry: Entry): void => {
    if (!scenario.hasAdmission) {
      agent.backlog.push({ request, entry });
      serveBacklog(agent);
      return;
    }
    const deadlineAtMs = request.bornMs + scenario.deadlineMs;
    const ticket = { requestId: request.id, customerId: request.customerId, deadlineAtMs };
    const { next: load, decision } = admission.offer(agent.load, limits, ticket, events.nowMs());
    agent.load = load;
    if (decision.type === 'start') run(agent, request, entry);
    if (decision.type === 'refuse') refuse(agent, request, entry);
    if (decision.type !== 'queue') return;
    agent.waiting.set(request.id, { request, entry });
    if (decision.displaced !== undefined) dequeue(agent, decision.displaced.requestId, false);
  };
  const chooseWeighed = (request: Request, entry: Entry): string | undefined =>
    routing.choose(
      {
        zone: `${regionName(entry.region)}-a`,
        region: regionName(entry.region),
        candidates: entry.directory.candidates(events.nowMs()),
        excludedUrls: request.excludedUrls,
        policy: POLICY,
        mayLeaveRegion: entry.crossings.hasCredit(),
      },
      next,
    )?.agentUrl;
  const chooseBaseline = (request: Request, entry: Entry): string | undefined => {
    const home = entry.directory
      .candidates(events.nowMs())
      .filter((it) => it.region === regionName(entry.region))
      .filter((it) => !request.excludedUrls.has(it.agentUrl));
    if (scenario.strategy === Strategy.random) {
      return home[random.integerBelow(next, Math.max(1, home.length))]?.agentUrl;
    }
    if (scenario.strategy === Strategy.roundRobin) {
      entry.turn += 1;
      return home[entry.turn % Math.max(1, home.length)]?.agentUrl;
    }
    return [...home].sort((a, b) => a.outstanding - b.outstanding)[0]?.agentUrl;
  };
  const route = (request: Request, entry: Entry): void => {
    const isWeighed = scenario.strategy === Strategy.weighed;
    const url = isWeighed ? chooseWeighed(request, entry) : chooseBaseline(request, entry);
    const agent = url === undefined ? undefined : byUrl.get(url);
    if (agent === undefined) {
      if (isCounted(request)) totals.refused += 1;
      return;
    }
    entry.directory.addOutstanding(agent.url, 1);
    if (agent.region !== entry.region) entry.crossings.take();
    if (isCounted(request)) {
      totals.sent += 1;
      if (agent.region !== entry.region) totals.crossRegion += 1;
    }
    events.at(events.nowMs() + delayMs(entry, agent), () => arrive(agent, request, entry));
  };
  const demand = scenario.demand ?? scenario.upstreams.map((it) => it / agents.length);
  const scheduleArrivals = (entry: Entry): void => {
    const perMs = ((demand[entry.region] ?? 0) * capacity * scenario.load) / 1000;
    const gapMs = (): number => -Math.log(1 - next()) / perMs;
    const arriveNext = (): void => {
      const isLong = next() < LONG_SHARE;
      const request: Request = {
        id: String(totals.offered) + String(events.nowMs()),
        customerId: CUSTOMERS[random.integerBelow(next, CUSTOMERS.length)] ?? 'a',
        region: entry.region,
        bornMs: events.nowMs(),
        serviceMs: (isLong ? LONG_MS : SHORT_MS) * (0.5 + next()),
        excludedUrls: new Set(),
      };
      if (isCounted(request)) totals.offered += 1;
      entry.crossings.earn(POLICY.crossRegionMaxShare);
      route(request, entry);
      events.at(events.nowMs() + gapMs(), arriveNext);
    };
    events.at(gapMs(), arriveNext);
  };
  const registerRemote = (): void => {
    for (const entry of entries) {
      agents
        .filter((it) => it.region !== entry.region)
        .forEach((it) => entry.directory.register(registrationOf(it), events.nowMs()));
    }
    events.at(events.nowMs() + REGISTER_MS, registerRemote);
  };
  registerRemote();
  entries.forEach(scheduleArrivals);
  events.runUntil(WARM_UP_MS + scenario.durationMs);
  return {
    ...totals,
    goodput: (totals.good * 1000) / scenario.durationMs,
    capacity,
    latenciesMs: latenciesMs.sort((a, b) => a - b),
    answeredBy,
  };
};
