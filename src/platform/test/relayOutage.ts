/**
 * Entries and schedulers that share one store in virtual time, to count what they send while the store fails
 * for all of them or for some.
 */
import * as clock from '../../base/common/clock.js';
import * as http from '../../base/common/http.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as fixtures from '../../coordination/common/pool/test/poolFixtures.js';
import * as configurationFeed from '../../coordination/node/pool/configurationFeed.js';
import * as jobDesk from '../../coordination/node/pool/jobDesk.js';
import * as leasedRecord from '../../coordination/node/pool/leasedRecord.js';
import * as peerDirectory from '../../coordination/node/pool/peerDirectory.js';
import * as storeRelay from '../../coordination/node/pool/storeRelay.js';
import * as viewAge from '../../coordination/node/pool/viewAge.js';
import * as platformStore from '../platformStore.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';

/** How the store fails a machine. */
export const Fault = { none: 'none', silent: 'silent', busy: 'busy', reset: 'reset' } as const;

/** One of the values of {@link Fault}. */
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Machines that each run an entry and a scheduler, and what happens to them. */
export interface Site {
  readonly machines: number;
  /** Callers' reads a second at each entry, and as many writes. */
  readonly readsPerSecond: number;
  readonly fault: Fault;
  /** One in so many machines is hit; 1 for all. */
  readonly hitOneIn: number;
}

/** Exchanges of one process. */
interface Count {
  own: number;
  offers: number;
  forOthers: number;
  asked: number;
}

/** What callers of the machines that were hit saw. */
export interface CallerFigures {
  readonly calls: number;
  readonly served: number;
  readonly medianMs: number;
  readonly mostMs: number;
}

/** What was counted while the fault lasted; exchanges are those of all processes, a second. */
export interface OutageFigures {
  readonly ownPerSecond: number;
  readonly offersPerSecond: number;
  readonly forOthersPerSecond: number;
  readonly allPerSecond: number;
  /** Most that one process sent, a second. */
  readonly busiestPerSecond: number;
  /** Most offers that one process was given, a second. */
  readonly askedMostPerSecond: number;
  /** From the end of the fault until the last process that was hit is answered by its own way. */
  readonly backMostMs: number;
  readonly mostOpen: number;
  /** Bodies of the exchanges open at once, at most. */
  readonly mostOpenBytes: number;
  readonly reads: CallerFigures;
  readonly writes: CallerFigures;
}

const FAULT_MS = 10_000;
/** The first looks at the list of others, which come fast, are long over. */
const CALM_MS = 25_000;

/** Calls that began within the fault have ended by then. */
const LAST_MS = 5000;

const WAY_MS = 10;

/** Spreads the machines over the list of entries. */
const GOLDEN_PART = 0.618;

const CONFIGURATION_KEY = 'configuration';
const PRESENCE_LEASE_MS = 6000;
const LEADER_WATCH_MS = 1200;
const LEADER_RETRY_MS = 250;
const TIMEOUT_MS = { entry: 450, scheduler: 1000 } as const;
const REVOKE_MS = 5000;
const PAYLOAD = 'p'.repeat(1000);

/** What the envelope of a relayed call takes beside the body in base64. */
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

/** The store's answers to what the parts of a process ask it. */
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

const waitOf = (path: string): number =>
  Number(new URLSearchParams(path.split('?')[1]).get('wait_ms') ?? 0);

interface Seen {
  readonly isRead: boolean;
  readonly isHit: boolean;
  readonly isServed: boolean;
  readonly tookMs: number;
}

const figuresOf = (seen: readonly Seen[]): CallerFigures => {
  const times = seen.map((it) => it.tookMs).sort((a, b) => a - b);
  return {
    calls: seen.length,
    served: seen.filter((it) => it.isServed).length,
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
    mostMs: times.at(-1) ?? 0,
  };
};

/** Everything that the processes share. */
const createWorld = (site: Site) => {
  const time = clock.createFakeClock(1_000_000);
  const urls = new Map<string, string>();
  const relays = new Map<string, storeRelay.StoreRelay>();
  const counts = new Map<string, Count>();
  const open = { exchanges: 0, bytes: 0, mostExchanges: 0, mostBytes: 0 };
  const state = { isFailing: false, isOver: false };
  /** When each process was first answered by its own way after the fault. */
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
  const faultOf = (machine: number): Fault =>
    state.isFailing && machine % site.hitOneIn === 0 ? site.fault : Fault.none;

  const callStore = async (machine: number, request: http.HttpRequest): Promise<http.HttpReply> => {
    const fault = faultOf(machine);
    if (fault === Fault.silent) {
      await clock.sleep(time, request.timeoutMs);
      return fail('timeout');
    }
    await clock.sleep(time, WAY_MS);
    if (fault === Fault.reset) return fail('lost');
    if (fault === Fault.busy) return { status: 503, headers: {}, body: Buffer.alloc(0) };
    await clock.sleep(time, waitOf(request.path));
    return faultOf(machine) === Fault.none ? answerOf(request.path, urls) : fail('lost');
  };

  /** As one process asks another: what it is not told in time is lost. */
  const ask = async (url: string, request: http.HttpRequest): Promise<http.HttpReply> => {
    const answer = async (): Promise<http.HttpReply> => {
      await clock.sleep(time, WAY_MS);
      count(url, 'asked');
      const reply = await relays.get(url)?.serve({
        ...request,
        timeoutMs: Math.max(100, request.timeoutMs - 100),
      });
      await clock.sleep(time, WAY_MS);
      return reply ?? fail('notSent');
    };
    const late = clock.sleep(time, request.timeoutMs).then(() => fail('lost'));
    late.catch(() => undefined);
    return Promise.race([answer(), late]);
  };
  return { time, urls, relays, counts, backAtMs, open, state, hold, count, callStore, ask };
};

type World = ReturnType<typeof createWorld>;

const startProcess = (world: World, role: 'entry' | 'scheduler', machine: number) => {
  const name = `${role}${machine}`;
  const { time } = world;
  world.counts.set(name, { own: 0, offers: 0, forOthers: 0, asked: 0 });
  const contact = viewAge.createViewAge(time);
  const relay = storeRelay.createStoreRelay({
    clock: time,
    log: logging.silentLog,
    direct: (request) => {
      world.count(name, request.headers['for-other'] === undefined ? 'own' : 'forOthers');
      return world.hold(request.body.length, async () => {
        const reply = await world.callStore(machine, request);
        if (world.state.isOver && reply.status !== 503 && !world.backAtMs.has(name)) {
          world.backAtMs.set(name, time.monotonicMs());
        }
        return reply;
      });
    },
    urls: () => directory.urls(poolKeys.PeerRole.entry),
    startAt: (machine * GOLDEN_PART) % 1,
    ask: (url, request) => {
      world.count(name, 'offers');
      const bytes = Math.ceil((request.body.length * 4) / 3) + ENVELOPE_BYTES;
      const marked = { ...request, headers: { 'for-other': '1' } };
      return world.hold(bytes, () => world.ask(url.replace('http://', ''), marked));
    },
  });
  const store = platformStore.createPlatformStore({
    address: () => ({ host: 'store', port: 1 }),
    call: relay.call,
    metrics: metrics.createMetrics(),
    timeoutMs: TIMEOUT_MS[role],
    totalMs: TIMEOUT_MS[role] * 2,
    onDidHear: () => contact.prove(contact.now()),
  });
  const common = { store, clock: time, log: logging.silentLog };
  const directory = peerDirectory.startPeerDirectory({ ...common, ownUrl: `http://${name}` });
  const key = poolKeys.peerKey(role, `m${machine}`);
  leasedRecord.keepLeasedRecord({ ...common, key, value: '{}', leaseMs: PRESENCE_LEASE_MS });
  if (role === 'entry') {
    world.urls.set(key, `http://${name}`);
    world.relays.set(name, relay);
  }
  return { ...common, storeAgeMs: contact.ageMs };
};

type Process = ReturnType<typeof startProcess>;

const followLeader = async (world: World, { store }: Process): Promise<void> => {
  while (!world.state.isOver) {
    try {
      await store.watch('leader', 1, LEADER_WATCH_MS, new AbortController().signal);
    } catch {
      await clock.sleep(world.time, LEADER_RETRY_MS);
    }
  }
};

const createDesk = (its: Process): jobDesk.JobDesk => {
  const feed = configurationFeed.startConfigurationFeed({
    ...its,
    key: CONFIGURATION_KEY,
    decode: (text) => JSON.parse(text) as poolConfiguration.PoolConfiguration,
  });
  return jobDesk.createJobDesk({
    ...its,
    metrics: metrics.createMetrics(),
    feed,
    configurationKey: CONFIGURATION_KEY,
    revokeMs: REVOKE_MS,
  });
};

/** Callers of one entry, evenly spread over the time. */
const callEntry = async (
  world: World,
  site: Site,
  machine: number,
  desk: jobDesk.JobDesk,
  seen: Seen[],
): Promise<void> => {
  const { time, state } = world;
  const call = async (isRead: boolean, index: number): Promise<void> => {
    const its: jobDesk.Call = {
      requestId: 'id',
      host: 'h',
      path: `/q/j${machine}x${index}`,
      apiKey: undefined,
      deadlineMs: 3000,
    };
    const isCounted = state.isFailing;
    const beganAtMs = time.monotonicMs();
    const draft = { payload: PAYLOAD, steps: [fixtures.makeStep()], schedule: undefined };
    let isServed = true;
    try {
      const admitted = desk.admit(its);
      await (isRead ? desk.state(its, admitted) : desk.submit(its, admitted, draft));
    } catch {
      isServed = false;
    }
    if (!isCounted) return;
    const tookMs = time.monotonicMs() - beganAtMs;
    seen.push({ isRead, isHit: machine % site.hitOneIn === 0, isServed, tookMs });
  };
  const gapMs = 500 / site.readsPerSecond;
  await clock.sleep(time, CALM_MS / 2 + (gapMs * machine) / site.machines);
  for (let index = 0; !state.isOver; index += 1) {
    void call(index % 2 === 0, index);
    await clock.sleep(time, gapMs);
  }
};

/**
 * @param site - the machines and what happens to them
 * @returns what was counted while it happened
 */
export const playOutage = async (site: Site): Promise<OutageFigures> => {
  const world = createWorld(site);
  const seen: Seen[] = [];
  for (let machine = 0; machine < site.machines; machine += 1) {
    void followLeader(world, startProcess(world, 'scheduler', machine));
    const desk = createDesk(startProcess(world, 'entry', machine));
    void callEntry(world, site, machine, desk, seen);
    await world.time.advance(1500 / site.machines);
  }
  await world.time.advance(CALM_MS);
  world.state.isFailing = true;
  world.open.mostExchanges = 0;
  world.open.mostBytes = 0;
  await world.time.advance(FAULT_MS);
  world.state.isFailing = false;
  const { mostExchanges, mostBytes } = world.open;
  world.state.isOver = true;
  const endedAtMs = world.time.monotonicMs();
  await world.time.advance(LAST_MS);

  const counts = [...world.counts.values()];
  const perSecond = (of: (count: Count) => number): number =>
    Math.round((counts.reduce((sum, it) => sum + of(it), 0) * 10_000) / FAULT_MS) / 10;
  const most = (of: (count: Count) => number): number =>
    Math.round((Math.max(...counts.map(of)) * 10_000) / FAULT_MS) / 10;
  const sent = ({ own, offers, forOthers }: Count): number => own + offers + forOthers;
  const hit = seen.filter((it) => it.isHit);
  return {
    ownPerSecond: perSecond((it) => it.own),
    offersPerSecond: perSecond((it) => it.offers),
    forOthersPerSecond: perSecond((it) => it.forOthers),
    allPerSecond: perSecond(sent),
    busiestPerSecond: most(sent),
    askedMostPerSecond: most((it) => it.asked),
    backMostMs: Math.max(...world.backAtMs.values()) - endedAtMs,
    mostOpen: mostExchanges,
    mostOpenBytes: mostBytes,
    reads: figuresOf(hit.filter((it) => it.isRead)),
    writes: figuresOf(hit.filter((it) => !it.isRead)),
  };
};
