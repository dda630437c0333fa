/**
 * Simulates entries and schedulers that share one store in virtual time, and counts their exchanges while the
 * store fails for all of them or for some.
 */
import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as jobRequestHandler from '../../coordination/node/pool/jobRequestHandler.js';
import * as leasedRecord from '../../coordination/node/pool/leasedRecord.js';
import * as peerDirectory from '../../coordination/node/pool/peerDirectory.js';
import * as storeRelay from '../../coordination/node/pool/storeRelay.js';
import * as snapshotAge from '../../coordination/node/pool/snapshotAge.js';
import * as platformStore from '../platformStore.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as stores from '../../state/common/store.js';

/** How the store fails for a machine. */
export const Fault = { none: 'none', silent: 'silent', busy: 'busy', reset: 'reset' } as const;

/** One of the values of {@link Fault}. */
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Machines that each run an entry and a scheduler, and the fault injected. */
export interface Scenario {
  readonly machines: number;
  /** Callers' reads per second at each entry, and the same number of writes. */
  readonly readsPerSecond: number;
  readonly fault: Fault;
  /** One in this many machines is affected; 1 means all. */
  readonly affectedOneIn: number;
}

/** Exchanges of one process: its own store calls, relay offers sent, store calls for others, offers received. */
interface Count {
  own: number;
  offers: number;
  forOthers: number;
  asked: number;
}

/** Calls at the affected machines. */
export interface CallerFigures {
  readonly calls: number;
  readonly served: number;
  readonly medianMs: number;
  readonly mostMs: number;
}

/** Counts during the fault; exchanges are totals of all processes per second. */
export interface OutageFigures {
  readonly ownPerSecond: number;
  readonly offersPerSecond: number;
  readonly forOthersPerSecond: number;
  readonly allPerSecond: number;
  /** Maximum sent by one process per second. */
  readonly busiestPerSecond: number;
  /** Maximum offers received by one process per second. */
  readonly askedMostPerSecond: number;
  /** Time from the end of the fault until all affected processes have been answered directly. */
  readonly backMostMs: number;
  readonly mostOpen: number;
  /** Maximum total size of the bodies of open exchanges. */
  readonly mostOpenBytes: number;
  readonly reads: CallerFigures;
  readonly writes: CallerFigures;
}

const FAULT_DURATION_MS = 10_000;
/** By then the frequent initial reads of the peer list are long over. */
const WARMUP_MS = 25_000;

/** Time after the fault in which the calls started during it end. */
const COOLDOWN_MS = 5000;

const LATENCY_MS = 10;

/** Distributes the machines' first relay choice over the list of entries. */
const GOLDEN_RATIO = 0.618;

const CONFIGURATION_KEY = 'configuration';
const PRESENCE_LEASE_MS = 6000;
const LEADER_WATCH_MS = 1200;
const LEADER_RETRY_MS = 250;
const TIMEOUT_MS = { entry: 450, scheduler: 1000 } as const;
const REVOKE_MS = 5000;
const PAYLOAD = 'p'.repeat(1000);

/** Size of a relayed call's envelope without the base64 body. */
const ENVELOPE_BYTES = 300;

const CONFIGURATION: poolConfiguration.PoolConfiguration = {
  version: 1,
  queues: [
    {
      policy: fixtures.makeJob([{}]).policy,
      host: 'h',
      pathPrefix: '/q/',
      isPublic: true,
      timeoutMs: 3000,
    },
  ],
  services: [],
  customers: [],
  maxBodyBytes: 100_000,
};

const fail = (failure: http.HttpFailure): never => {
  throw new http.HttpCallError(failure, failure);
};

const itemOf = (key: string, value: string): object => ({
  key,
  value: Buffer.from(value).toString('base64'),
  rev: 1,
});

/** Returns the store's answer to a request of a process. */
const answerOf = (path: string, urls: ReadonlyMap<string, string>): http.HttpReply => {
  const reply = (status: number, body: object): http.HttpReply => ({
    status,
    headers: {},
    body: Buffer.from(JSON.stringify(body)),
  });
  const query = new URLSearchParams(path.split('?')[1]);
  const prefix = query.get('prefix') ?? '';
  if (path.startsWith('/-/kv-watch')) return reply(200, { as_of: 1 });
  if (path.startsWith('/-/kv-key')) return reply(404, {});
  if (path.startsWith('/-/kv-lease')) return reply(200, { lease: 1 });
  if (!path.startsWith('/-/kv-range')) return reply(200, { rev: 1 });
  if (prefix === CONFIGURATION_KEY) {
    return reply(200, {
      as_of: 1,
      items: [itemOf(CONFIGURATION_KEY, JSON.stringify(CONFIGURATION))],
    });
  }
  if (prefix === poolKeys.PEERS) {
    const items = [...urls].map(([key, url]) => itemOf(key, JSON.stringify({ url })));
    return reply(200, { as_of: 1, items });
  }
  return reply(200, { as_of: 1, items: [itemOf(`${prefix}${poolKeys.JobPart.spec}`, '{}')] });
};

const requestedWaitMs = (path: string): number =>
  Number(new URLSearchParams(path.split('?')[1]).get('wait_ms') ?? 0);

interface CallResult {
  readonly isRead: boolean;
  readonly isAffected: boolean;
  readonly isServed: boolean;
  readonly tookMs: number;
}

const figuresOf = (seen: readonly CallResult[]): CallerFigures => {
  const times = seen.map((it) => it.tookMs).sort((a, b) => a - b);
  return {
    calls: seen.length,
    served: seen.filter((it) => it.isServed).length,
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
    mostMs: times.at(-1) ?? 0,
  };
};

/** Creates the state shared by the processes. */
const createModel = (scenario: Scenario) => {
  const time = clock.createFakeClock(1_000_000);
  const urls = new Map<string, string>();
  const relays = new Map<string, storeRelay.StoreRelay>();
  const counts = new Map<string, Count>();
  const open = { exchanges: 0, bytes: 0, mostExchanges: 0, mostBytes: 0 };
  const state = { isFailing: false, isOver: false };
  /** When each process was first answered directly after the fault. */
  const backAtMs = new Map<string, number>();

  const hold = async <T>(bytes: number, exchange: () => Promise<T>): Promise<T> => {
    open.exchanges += 1;
    open.bytes += bytes;
    open.mostExchanges = Math.max(open.mostExchanges, open.exchanges);
    open.mostBytes = Math.max(open.mostBytes, open.bytes);
    try {
      return await exchange();
    } finally {
      open.exchanges -= 1;
      open.bytes -= bytes;
    }
  };
  const count = (name: string, kind: keyof Count): void => {
    const its = counts.get(name);
    if (state.isFailing && its !== undefined) its[kind] += 1;
  };
  const activeFault = (machine: number): Fault =>
    state.isFailing && machine % scenario.affectedOneIn === 0 ? scenario.fault : Fault.none;

  const callStore = async (machine: number, request: http.HttpRequest): Promise<http.HttpReply> => {
    const fault = activeFault(machine);
    if (fault === Fault.silent) {
      await clock.sleep(time, request.timeoutMs);
      return fail('timeout');
    }
    await clock.sleep(time, LATENCY_MS);
    if (fault === Fault.reset) return fail('lost');
    if (fault === Fault.busy) return { status: 503, headers: {}, body: Buffer.alloc(0) };
    await clock.sleep(time, requestedWaitMs(request.path));
    return activeFault(machine) === Fault.none ? answerOf(request.path, urls) : fail('lost');
  };

  /** Sends a request to another process; it fails as lost if no answer arrives in time. */
  const ask = async (url: string, request: http.HttpRequest): Promise<http.HttpReply> => {
    const answer = async (): Promise<http.HttpReply> => {
      await clock.sleep(time, LATENCY_MS);
      count(url, 'asked');
      const reply = await relays.get(url)?.serve({
        ...request,
        timeoutMs: Math.max(100, request.timeoutMs - 100),
      });
      await clock.sleep(time, LATENCY_MS);
      return reply ?? fail('notSent');
    };
    const timeout = clock.sleep(time, request.timeoutMs).then(() => fail('lost'));
    timeout.catch(() => undefined);
    return Promise.race([answer(), timeout]);
  };
  return { time, urls, relays, counts, backAtMs, open, state, hold, count, callStore, ask };
};

type Model = ReturnType<typeof createModel>;

const startProcess = (model: Model, role: 'entry' | 'scheduler', machine: number) => {
  const name = `${role}${machine}`;
  const { time } = model;
  model.counts.set(name, { own: 0, offers: 0, forOthers: 0, asked: 0 });
  const contact = snapshotAge.createSnapshotAge(time);
  const relay = storeRelay.createStoreRelay({
    clock: time,
    log: logging.silentLog,
    direct: (request) => {
      model.count(name, request.headers['for-other'] === undefined ? 'own' : 'forOthers');
      return model.hold(request.body.length, async () => {
        const reply = await model.callStore(machine, request);
        if (model.state.isOver && reply.status !== 503 && !model.backAtMs.has(name)) {
          model.backAtMs.set(name, time.monotonicMs());
        }
        return reply;
      });
    },
    urls: () => directory.urls(poolKeys.PeerRole.entry),
    startAt: (machine * GOLDEN_RATIO) % 1,
    ask: (url, request) => {
      model.count(name, 'offers');
      const bytes = Math.ceil((request.body.length * 4) / 3) + ENVELOPE_BYTES;
      const marked = { ...request, headers: { 'for-other': '1' } };
      return model.hold(bytes, () => model.ask(url.replace('http://', ''), marked));
    },
  });
  const store = platformStore.createPlatformStore({
    address: () => ({ host: 'store', port: 1 }),
    call: relay.call,
    metrics: metrics.createMetrics(),
    timeoutMs: TIMEOUT_MS[role],
    totalMs: TIMEOUT_MS[role] * 2,
    onDidReceive: () => contact.confirm(contact.now()),
  });
  const common = { store, clock: time, log: logging.silentLog };
  const directory = peerDirectory.startPeerDirectory({ ...common, ownUrl: `http://${name}` });
  const key = poolKeys.peerKey(role, `m${machine}`);
  leasedRecord.maintainLeasedRecord({ ...common, key, value: '{}', leaseMs: PRESENCE_LEASE_MS });
  if (role === 'entry') {
    model.urls.set(key, `http://${name}`);
    model.relays.set(name, relay);
  }
  return { ...common, storeAgeMs: contact.ageMs };
};

type Process = ReturnType<typeof startProcess>;

const followLeader = async (model: Model, { store }: Process): Promise<void> => {
  while (!model.state.isOver) {
    try {
      await store.watch('leader', 1, LEADER_WATCH_MS, new AbortController().signal);
    } catch {
      await clock.sleep(model.time, LEADER_RETRY_MS);
    }
  }
};

const createDesk = (its: Process): jobRequestHandler.JobRequestHandler => {
  const feed = configurationFeed.startConfigurationFeed({
    ...its,
    key: CONFIGURATION_KEY,
    decode: (text) => JSON.parse(text) as poolConfiguration.PoolConfiguration,
  });
  return jobRequestHandler.createJobRequestHandler({
    ...its,
    metrics: metrics.createMetrics(),
    feed,
    configurationKey: CONFIGURATION_KEY,
    revokeMs: REVOKE_MS,
    maxValueBytes: stores.MAX_VALUE_BYTES,
  });
};

/** Sends the calls of one entry's callers at regular intervals. */
const sendCalls = async (
  model: Model,
  scenario: Scenario,
  machine: number,
  desk: jobRequestHandler.JobRequestHandler,
  seen: CallResult[],
): Promise<void> => {
  const { time, state } = model;
  const call = async (isRead: boolean, index: number): Promise<void> => {
    const its: jobRequestHandler.Call = {
      requestId: 'id',
      host: 'h',
      path: `/q/j${machine}x${index}`,
      apiKey: undefined,
      deadlineMs: 3000,
    };
    const isCounted = state.isFailing;
    const startedAtMs = time.monotonicMs();
    const draft = { payload: PAYLOAD, steps: [fixtures.makeStep()], schedule: undefined };
    let isServed = true;
    try {
      const admitted = desk.admit(its);
      await (isRead ? desk.state(its, admitted) : desk.submit(its, admitted, draft));
    } catch {
      isServed = false;
    }
    if (!isCounted) return;
    const tookMs = time.monotonicMs() - startedAtMs;
    seen.push({ isRead, isAffected: machine % scenario.affectedOneIn === 0, isServed, tookMs });
  };
  const intervalMs = 500 / scenario.readsPerSecond;
  await clock.sleep(time, WARMUP_MS / 2 + (intervalMs * machine) / scenario.machines);
  for (let index = 0; !state.isOver; index += 1) {
    void call(index % 2 === 0, index);
    await clock.sleep(time, intervalMs);
  }
};

/**
 * @param scenario - the machines and the fault
 * @returns the counts during the fault
 */
export const simulateOutage = async (scenario: Scenario): Promise<OutageFigures> => {
  const model = createModel(scenario);
  const seen: CallResult[] = [];
  for (let machine = 0; machine < scenario.machines; machine += 1) {
    void followLeader(model, startProcess(model, 'scheduler', machine));
    const desk = createDesk(startProcess(model, 'entry', machine));
    void sendCalls(model, scenario, machine, desk, seen);
    await model.time.advance(1500 / scenario.machines);
  }
  await model.time.advance(WARMUP_MS);
  model.state.isFailing = true;
  model.open.mostExchanges = 0;
  model.open.mostBytes = 0;
  await model.time.advance(FAULT_DURATION_MS);
  model.state.isFailing = false;
  const { mostExchanges, mostBytes } = model.open;
  model.state.isOver = true;
  const endedAtMs = model.time.monotonicMs();
  await model.time.advance(COOLDOWN_MS);

  const counts = [...model.counts.values()];
  const perSecond = (of: (count: Count) => number): number =>
    Math.round((counts.reduce((sum, it) => sum + of(it), 0) * 10_000) / FAULT_DURATION_MS) / 10;
  const maxPerSecond = (of: (count: Count) => number): number =>
    Math.round((Math.max(...counts.map(of)) * 10_000) / FAULT_DURATION_MS) / 10;
  const sent = ({ own, offers, forOthers }: Count): number => own + offers + forOthers;
  const affected = seen.filter((it) => it.isAffected);
  return {
    ownPerSecond: perSecond((it) => it.own),
    offersPerSecond: perSecond((it) => it.offers),
    forOthersPerSecond: perSecond((it) => it.forOthers),
    allPerSecond: perSecond(sent),
    busiestPerSecond: maxPerSecond(sent),
    askedMostPerSecond: maxPerSecond((it) => it.asked),
    backMostMs: Math.max(...model.backAtMs.values()) - endedAtMs,
    mostOpen: mostExchanges,
    mostOpenBytes: mostBytes,
    reads: figuresOf(affected.filter((it) => it.isRead)),
    writes: figuresOf(affected.filter((it) => !it.isRead)),
  };
};
