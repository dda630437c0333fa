/**
 * A complete pool in one process on a fake clock: store, workers, agents and any number of candidates for
 * the leadership. Agents, leadership and leaders are production code; the store, the workers and the links
 * between processes are stand-ins.
 */
import * as clock from '../../base/common/clock.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as random from '../../base/common/random.js';
import * as doneRuns from '../../coordination/common/pool/doneRuns.js';
import type * as ticketCache from '../../coordination/node/pool/ticketCache.js';
import * as poolAgent from '../../coordination/node/pool/poolAgent.js';
import * as poolLeader from '../../coordination/node/pool/poolLeader.js';
import * as poolLeadership from '../../coordination/node/pool/poolLeadership.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';
import type * as poolConfiguration from '../../state/common/pool/poolConfiguration.js';
import type * as poolJob from '../../state/common/pool/poolJob.js';
import * as poolKeys from '../../state/common/pool/poolKeys.js';
import * as poolWorker from '../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../state/common/pool/progressRecord.js';
import * as stores from '../../state/common/store.js';
import * as memoryPoolWorker from '../memoryPoolWorker.js';
import * as memoryStore from '../memoryStore.js';
import * as poolPromises from './poolPromises.js';

/** Initial time of the fake clock. */
const START_MS = 1_000_000;

/** Longest lease that workers accept in a test. */
export const MAX_LEASE_MS = 6000;

/** Time within which a test expects the end of a run to be acknowledged. */
export const MAX_ACKNOWLEDGEMENT_MS = 5000;

/** Term of the leadership lease in a test. */
export const LEADER_LEASE_MS = 2000;

/** A worker with its agent and the link between leader and agent. */
export interface Site {
  readonly worker: memoryPoolWorker.MemoryPoolWorker;
  readonly agent: poolAgent.PoolAgent;
  /** Cuts the link between leaders and the agent. */
  isCut: boolean;
  /** How long orders of leaders take to reach the agent. */
  orderDelayMs: number;
  /** Cuts the link after this many more answers. */
  answersLeft: number;
  /** Restarts the agent's process without its in-memory state. */
  readonly restartAgent: () => void;
  /** Sends one heartbeat of the worker, even while it answers no calls. */
  readonly sendHeartbeat: () => void;
  /** The worker announces that it shuts down, and ends with all its runs. */
  readonly leave: () => void;
}

/** A candidate for the leadership. */
export interface Candidate {
  readonly leader: () => poolLeader.PoolLeader | undefined;
  /** Ends the candidate without releasing its lease, as when a process is killed. */
  readonly kill: () => void;
}

/** Identity of a candidate; a restarted process has that of its previous incarnation. */
export interface CandidateIdentity {
  readonly holderId: string;
  readonly url: string;
}

/** A complete pool. */
export interface Pool {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly sites: readonly Site[];
  /** Resolves when the agents' records are stored; awaited before the first fault. */
  readonly ready: Promise<unknown>;
  /** @param place - holder id and address; absent for a new process */
  readonly addCandidate: (place?: CandidateIdentity) => Candidate;
  readonly submit: (job: poolJob.PoolJob) => Promise<void>;
  readonly cancel: (jobId: string) => Promise<void>;
  /** Stores the operators' evacuation of a zone. */
  readonly evacuate: (zone: string) => Promise<void>;
  /** Removes the evacuation of a zone. */
  readonly takeBack: (zone: string) => Promise<void>;
  readonly progress: (jobId: string) => Promise<progressRecord.ProgressRecord | undefined>;
  /** All runs on all workers. */
  readonly runs: () => memoryPoolWorker.RecordedRun[];
  readonly dispose: () => void;
}

/** Options of a pool. */
export interface PoolOptions {
  readonly workers: number;
  readonly acceleratorsPerWorker?: number;
  readonly workMs?: (task: string) => number;
  readonly guarantees?: Readonly<Record<string, number>>;
  /** Nothing starts in a zone later than this after its evacuation. */
  readonly evacuateMs?: number;
  /** Zones of the workers, in turn; all are in one zone by default. */
  readonly zones?: readonly string[];
  readonly jobs?: readonly poolJob.PoolJob[];
  /** Ends that a worker lists at a time. */
  readonly maxListedEnds?: number;
  readonly log?: logging.Log;
  readonly seed?: number;
  /** Whether leaders learn how fast workers are; they do by default. */
  readonly learnsSpeeds?: boolean;
  /** Answers for the policy service, on the clock of the pool. */
  readonly askAdvice?: (
    ...asked: [...Parameters<ticketCache.TicketCacheOptions['ask']>, clock.Clock]
  ) => ReturnType<ticketCache.TicketCacheOptions['ask']>;
}

/** Prefix of the records by which the operators evacuate zones. */
export const EVACUATIONS_PREFIX = 'operators/evacuations/';

const DEFAULT_ZONES = ['zone'];

const HEARTBEAT_MS = 500;
const RACK_SIZE = 3;

const configurationOf = (options: PoolOptions): poolConfiguration.PoolConfiguration => ({
  version: 1,
  queues: [],
  services: [],
  customers: Object.entries(options.guarantees ?? {}).map(([customerId, count]) => ({
    customerId,
    apiKeys: [],
    guaranteedAccelerators: count,
  })),
  maxBodyBytes: 1000,
});

/** Looks up the gang size of a task in the jobs that the test submits. */
const gangSizes = (): {
  readonly note: (job: poolJob.PoolJob) => void;
  readonly of: (task: string) => number;
} => {
  const jobs = new Map<string, poolJob.PoolJob>();
  return {
    note: (job) => jobs.set(job.jobId, job),
    of: (task) => {
      const name = poolWorker.parseTaskName(task);
      const step = jobs.get(name?.jobId ?? '')?.steps[name?.step ?? 0];
      return step?.isGang === true ? step.count : 1;
    },
  };
};

/**
 * @param options - options of the pool
 * @returns the pool, without candidates
 */
export const createPool = (options: PoolOptions): Pool => {
  const time = clock.createFakeClock(START_MS);
  const store = memoryStore.createMemoryStore(time);
  const log = options.log ?? logging.silentLog;
  const counters = metrics.createMetrics();
  const gangs = gangSizes();
  const board = memoryPoolWorker.createGangRegistry();
  const configuration = configurationOf(options);
  const candidates = new Set<Candidate>();
  let ids = 0;
  let isDisposed = false;
  const newId = (): string => {
    ids += 1;
    return `id-${ids}`;
  };

  interface MutableSite extends Site {
    agent: poolAgent.PoolAgent;
  }
  const zones = options.zones ?? DEFAULT_ZONES;
  const zoneOf = (index: number): string => zones[index % zones.length] ?? '';
  const createSite = (index: number): MutableSite => {
    const worker = memoryPoolWorker.createMemoryPoolWorker(
      {
        clock: time,
        info: {
          workerId: `w${index}`,
          incarnationMs: 1,
          service: 'service',
          zone: zoneOf(index),
          state: 'ready',
          capacity: {
            cpuMillicores: 64_000,
            memoryMb: 256_000,
            accelerators: options.acceleratorsPerWorker ?? 8,
          },
          labels: ['a', `r${Math.floor(index / RACK_SIZE)}`],
          rack: `r${Math.floor(index / RACK_SIZE)}`,
        },
        workMs: options.workMs ?? (() => 1000),
        gangOf: gangs.of,
        maxLeaseMs: MAX_LEASE_MS,
        gangMs: 1500,
        ...(options.maxListedEnds === undefined ? {} : { maxListedEnds: options.maxListedEnds }),
      },
      board,
    );
    const createAgent = (): poolAgent.PoolAgent =>
      poolAgent.createPoolAgent({
        worker: worker.link,
        clock: time,
        log,
        metrics: counters,
        bootId: newId(),
      });
    let sequence = 0;
    const site: MutableSite = {
      worker,
      isCut: false,
      orderDelayMs: 0,
      answersLeft: Infinity,
      agent: createAgent(),
      restartAgent: () => {
        void site.agent.dispose();
        site.agent = createAgent();
      },
      sendHeartbeat: () => {
        sequence += 1;
        site.agent.recordHeartbeat({ info: worker.info(), sequence });
      },
      leave: () => {
        site.agent.recordDeparture(worker.info().workerId);
        worker.crash();
        worker.faults.isSilent = true;
      },
    };
    const beat = (): void => {
      if (isDisposed) return;
      const { isSilent, areAnswersLost } = worker.faults;
      if (!isSilent && !areAnswersLost) site.sendHeartbeat();
      time.after(HEARTBEAT_MS, beat);
    };
    beat();
    return site;
  };
  const sites = Array.from({ length: options.workers }, (_, index) => createSite(index));
  const siteAt = (url: string): MutableSite => {
    const site = sites[Number(url.slice(url.lastIndexOf('/') + 1))];
    if (site === undefined || site.isCut) {
      throw errors.fail('peerUnreachable', 'the link is cut');
    }
    return site;
  };
  /** A cut also loses answers in flight. */
  const callAgent = async <T>(url: string, call: (agent: poolAgent.PoolAgent) => Promise<T>) => {
    const site = siteAt(url);
    const { agent } = site;
    const answer = await call(agent);
    if (site.agent !== agent) throw errors.fail('peerUnreachable', 'the agent was restarted');
    siteAt(url);
    site.answersLeft -= 1;
    if (site.answersLeft <= 0) site.isCut = true;
    return answer;
  };
  const link: agentContract.AgentApi = {
    sync: (url, request) => callAgent(url, (agent) => agent.sync(request)),
    order: async (url, request) => {
      const { orderDelayMs } = siteAt(url);
      if (orderDelayMs > 0) await clock.sleep(time, orderDelayMs);
      return callAgent(url, (agent) => agent.order(request));
    },
  };

  const put = async (key: string, value: string): Promise<void> => {
    await store.transact({ conditions: [], puts: [{ key, value }], removes: [] });
  };
  const ready = Promise.all(
    sites.map((_, index) =>
      put(poolKeys.agentKey(`agent-${index}`), JSON.stringify({ url: `http://agent/${index}` })),
    ),
  );

  const newPlace = (): CandidateIdentity => {
    const holderId = newId();
    return { holderId, url: `http://${holderId}:1` };
  };

  const addCandidate = (place = newPlace()): Candidate => {
    const seenDone = doneRuns.createDoneRuns();
    let leader: poolLeader.PoolLeader | undefined;
    let isKilled = false;
    const own: Pick<memoryStore.MemoryStore, keyof memoryStore.MemoryStore> = store;
    const leadership: poolLeadership.Leadership = poolLeadership.createLeadership({
      store: own,
      clock: time,
      random: random.createRandom(options.seed ?? 1),
      log,
      newId,
      holderId: place.holderId,
      url: place.url,
      bootId: newId(),
      leaseMs: LEADER_LEASE_MS,
      onDidGain: (term) => {
        if (isKilled) return;
        leader = poolLeader.startPoolLeader({
          store: own,
          clock: time,
          log,
          metrics: counters,
          link,
          term,
          doneRuns: seenDone,
          limits: {
            maxLeaseMs: MAX_LEASE_MS,
            maxAcknowledgementMs: MAX_ACKNOWLEDGEMENT_MS,
            statusMs: 120_000,
            remoteFactor: 3,
            restoreMs: 250,
            maxValueBytes: stores.MAX_VALUE_BYTES,
          },
          learnsSpeeds: options.learnsSpeeds ?? true,
          configuration: () => configuration,
          evacuation: {
            prefix: EVACUATIONS_PREFIX,
            maxStartMs: options.evacuateMs ?? poolPromises.EVACUATE_MS,
            zones,
          },
          askAdvice: (...asked) =>
            options.askAdvice?.(...asked, time) ??
            Promise.reject(new Error('no policy is configured')),
          onDidConflict: (reason) => leadership.abandon(reason),
        });
      },
      onDidLose: () => {
        void leader?.dispose();
        leader = undefined;
      },
    });
    const candidate: Candidate = {
      leader: () => leader,
      kill: () => {
        isKilled = true;
        void leadership.dispose();
        void leader?.dispose();
        leader = undefined;
        candidates.delete(candidate);
      },
    };
    candidates.add(candidate);
    return candidate;
  };

  return {
    clock: time,
    store,
    sites,
    ready,
    addCandidate,
    submit: async (job) => {
      await ready;
      gangs.note(job);
      await put(poolKeys.jobKey(job.jobId, poolKeys.JobPart.spec), JSON.stringify(job));
    },
    cancel: (jobId) => put(poolKeys.jobKey(jobId, poolKeys.JobPart.cancel), '{}'),
    evacuate: (zone) => put(`${EVACUATIONS_PREFIX}${zone}`, '{}'),
    takeBack: async (zone) => {
      const removes = [`${EVACUATIONS_PREFIX}${zone}`];
      await store.transact({ conditions: [], puts: [], removes });
    },
    progress: async (jobId) => {
      const record = await store.get(poolKeys.progressKey(jobId));
      return record === undefined ? undefined : progressRecord.decodeProgress(record.value);
    },
    runs: () => sites.flatMap(({ worker }) => worker.runs),
    dispose: () => {
      isDisposed = true;
      candidates.forEach((it) => it.kill());
      sites.forEach((it) => {
        it.worker.dispose();
        void it.agent.dispose();
      });
    },
  };
};

/**
 * Clears the lasting faults of the store, the workers and the links.
 *
 * @param pool - the pool
 */
export const clearFaults = (pool: Pool): void => {
  const { faults } = pool.store;
  faults.isDown = false;
  faults.areWatchesLost = false;
  faults.refusedPrefix = undefined;
  faults.loseWriteAnswers = 0;
  faults.delayTransactions = 0;
  for (const site of pool.sites) {
    site.isCut = false;
    site.orderDelayMs = 0;
    site.worker.faults.isSilent = false;
    site.worker.faults.areAnswersLost = false;
    site.worker.faults.delayOrders = 0;
    site.worker.faults.failsAll = false;
    site.worker.faults.refusesStarts = false;
  }
};
