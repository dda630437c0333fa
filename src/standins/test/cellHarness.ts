/**
 * A cell for tests: leaders and agents in one process on a fake clock, with stand-ins for the store
 * and the workers, and links that a test can cut.
 */
import * as clock from '../../base/common/clock.js';
import * as disposable from '../../base/common/disposable.js';
import * as errors from '../../base/common/errors.js';
import * as logging from '../../base/common/logging.js';
import * as metrics from '../../base/common/metrics.js';
import * as configurationHolder from '../../coordination/common/configurationHolder.js';
import * as agentRuntime from '../../coordination/node/agentRuntime.js';
import type * as agentReports from '../../coordination/node/agentReports.js';
import * as cellLeader from '../../coordination/node/cellLeader.js';
import * as jobStore from '../../coordination/node/jobStore.js';
import * as leadership from '../../coordination/node/leadership.js';
import type * as configuration from '../../state/common/configuration.js';
import type * as job from '../../state/common/job.js';
import type * as store from '../../state/common/store.js';
import type * as worker from '../../state/common/worker.js';
import * as memoryStore from '../memoryStore.js';
import * as memoryWorker from '../memoryWorker.js';

/** Term of task leases in these tests. */
export const TASK_LEASE_MS = 10_000;

/** Term of the store's leases in these tests. */
export const STORE_LEASE_MS = 3000;

const REPORT_MS = 500;
const CELL = 'cell';

/** One agent with its worker. */
export interface TestAgent {
  readonly info: worker.WorkerInfo;
  readonly worker: memoryWorker.MemoryWorker;
  readonly runtime: () => agentRuntime.AgentRuntime;
  /** Replaces the agent's process; its worker keeps running. */
  readonly restart: () => void;
}

/** A leader with its leadership lease. */
export interface TestLeader {
  readonly name: string;
  readonly leader: cellLeader.CellLeader;
  readonly won: leadership.Leadership;
  readonly isDeposed: () => boolean;
}

/** A cell under test. */
export interface TestCell extends disposable.Disposable {
  readonly clock: clock.FakeClock;
  readonly store: memoryStore.MemoryStore;
  readonly agents: readonly TestAgent[];
  /** Links that are cut, as `leader workerId` or `leader store`. */
  readonly cut: Set<string>;
  /** Starts a leader that takes over the cell; the agents that it reaches report to it from then on. */
  readonly startLeader: (name: string) => Promise<TestLeader>;
  /** Runs of one job that were executed, over all workers. */
  readonly runsOf: (jobId: string) => readonly memoryWorker.RunRecord[];
}

const document: configuration.ConfigurationDocument = {
  customers: [
    {
      customerId: 'c',
      name: 'c',
      requestWeight: 1,
      guaranteedSlots: 0,
      quotaAccelerators: 100_000,
    },
  ],
  shapes: [],
  rules: [
    {
      ruleId: 'spare',
      customerIds: ['c'],
      cells: [],
      weight: 1,
      maxAccelerators: 100_000,
      throttleFirst: false,
    },
  ],
  cells: [{ cell: CELL, region: 'r', workers: 3, acceleratorsPerWorker: 4, workersPerRack: 3 }],
  placement: {
    completionWeight: 0.5,
    reclaimGraceMs: 1000,
    largeJobAccelerators: 64,
    largeJobWaitMs: 60_000,
    quarantineFailures: 3,
    quarantineCapShare: 0.2,
    unrunnableFailures: 3,
    taskLeaseMs: TASK_LEASE_MS,
  },
  routing: {
    crossRegionPriceMs: 1000,
    crossRegionMaxShare: 0.2,
    retryBudgetShare: 0.1,
    ejectionCapShare: 0.3,
    defaultDeadlineMs: 10_000,
  },
  objectives: [],
};

/**
 * @param jobId - id of the job
 * @param change - changes to a job of one member with one accelerator that runs for an hour
 * @returns a job
 */
export const makeJobSpec = (jobId: string, change: Partial<job.JobSpec> = {}): job.JobSpec => ({
  jobId,
  customerId: 'c',
  kind: 'k',
  cell: CELL,
  claim: 'spare',
  members: 1,
  acceleratorsPerMember: 1,
  adjacency: 'zone',
  declaredRunMs: 3_600_000,
  isCheckpointable: true,
  payload: JSON.stringify({ runMs: 3_600_000 }),
  ...change,
});

const linkCut = (): errors.AuburnliftError => errors.fail('peerUnreachable', 'the link is cut');

/**
 * @param workers - number of workers
 * @param acceleratorsPerWorker - accelerators of each worker
 * @returns a cell without a leader
 */
export const createCell = (workers = 3, acceleratorsPerWorker = 4): TestCell => {
  const time = clock.createFakeClock(1_000_000);
  const target = memoryStore.createMemoryStore(time);
  const owned = disposable.createDisposableStore();
  const cut = new Set<string>();
  const leaders: TestLeader[] = [];
  const agents: TestAgent[] = [];
  let ids = 0;
  const newId = (): string => {
    ids += 1;
    return `id-${ids}`;
  };
  const holder = configurationHolder.createConfigurationHolder();
  holder.offer({ version: 1, writeId: 'w', author: 'a', reason: 'r', writtenAtMs: 0, document });
  const leadersOf = new Map<string, string>();
  const boots = new Map<string, string>();

  const reportTo = async (
    info: worker.WorkerInfo,
    report: agentRuntime.OutgoingReport,
  ): Promise<agentRuntime.ReportAnswer> => {
    const name = leadersOf.get(info.agentUrl);
    const held = leaders.find((it) => it.name === name);
    if (held === undefined || cut.has(`${name} ${info.workerId}`)) throw linkCut();
    const answer = held.leader.report({
      ...report,
      stampMs: report.stampMs,
      acceptedEpoch: report.epoch,
      bootId: boots.get(info.workerId) ?? '',
      worker: info,
      isLeaving: false,
    });
    return Promise.resolve(answer);
  };
  const createAgent = (index: number): TestAgent => {
    const info: worker.WorkerInfo = {
      workerId: `w${index}`,
      zone: CELL,
      region: 'r',
      rack: 'k',
      accelerators: acceleratorsPerWorker,
      cores: 1,
      memoryBytes: 1,
      agentUrl: `http://127.0.0.1:${index + 1}`,
    };
    const machine = owned.add(memoryWorker.createMemoryWorker(time));
    const boot = (): agentRuntime.AgentRuntime => {
      boots.set(info.workerId, newId());
      return agentRuntime.startAgentRuntime({
        accelerators: acceleratorsPerWorker,
        worker: machine,
        clock: time,
        log: logging.silentLog,
        reportMs: REPORT_MS,
        report: (report) => reportTo(info, report),
      });
    };
    let runtime = boot();
    owned.add({ dispose: () => runtime.dispose() });
    return {
      info,
      worker: machine,
      runtime: () => runtime,
      restart: () => {
        void runtime.dispose();
        runtime = boot();
      },
    };
  };
  for (let index = 0; index < workers; index += 1) agents.push(createAgent(index));

  const agentAt = (name: string, agentUrl: string): TestAgent => {
    const found = agents.find((it) => it.info.agentUrl === agentUrl);
    if (found === undefined || cut.has(`${name} ${found.info.workerId}`)) throw linkCut();
    return found;
  };
  /** The store over the link of one leader, which fails while the link is cut. */
  const storeOf = (name: string): store.Store => {
    const overLink =
      <A extends unknown[], T>(call: (...args: A) => Promise<T>) =>
      async (...args: A): Promise<T> => {
        if (cut.has(`${name} store`)) throw errors.fail('storeUnavailable', 'the link is cut');
        return call(...args);
      };
    return {
      get: overLink(target.get),
      list: overLink(target.list),
      compareAndSwap: overLink(target.compareAndSwap),
      grantLease: overLink(target.grantLease),
      renewLease: overLink(target.renewLease),
      revokeLease: overLink(target.revokeLease),
      watch: overLink(target.watch),
    };
  };
  const fence = (name: string, epoch: number, agentUrl: string): agentReports.AgentState => {
    const { info, runtime } = agentAt(name, agentUrl);
    const tasks = runtime().fence(epoch);
    leadersOf.set(agentUrl, name);
    return {
      bootId: boots.get(info.workerId) ?? '',
      acceptedEpoch: runtime().acceptedEpoch(),
      uptimeMs: runtime().uptimeMs(),
      worker: info,
      commandCount: runtime().commandCount(),
      tasks,
    };
  };
  return {
    clock: time,
    store: target,
    agents,
    cut,
    runsOf: (jobId) =>
      agents.flatMap((it) => it.worker.runs()).filter((it) => it.key.startsWith(`${jobId}/`)),
    startLeader: async (name) => {
      const linkedStore = storeOf(name);
      const won = await leadership.tryAcquireLeadership({
        store: linkedStore,
        clock: time,
        cell: CELL,
        leaderId: name,
        url: 'http://127.0.0.1:1',
        ttlMs: STORE_LEASE_MS,
        newId,
      });
      if (won === undefined) throw errors.fail('notLeader', 'another leader has the cell');
      const { epoch } = won;
      let isDeposed = false;
      const leader = cellLeader.createCellLeader({
        cell: CELL,
        epoch,
        store: linkedStore,
        jobStore: jobStore.createJobStore({ store: linkedStore, cell: CELL, epoch, newId }),
        clock: time,
        log: logging.silentLog,
        metrics: metrics.createMetrics(),
        configuration: holder,
        isLeaseHeld: won.lease.isHeld,
        fence: async (agentUrl) => Promise.resolve(fence(name, epoch, agentUrl)),
        sendCommands: async (agentUrl, bootId, commands) => {
          const { info, runtime } = agentAt(name, agentUrl);
          if (boots.get(info.workerId) !== bootId) throw linkCut();
          const results = await runtime().command(epoch, commands);
          return { bootId, commandCount: runtime().commandCount(), results };
        },
        discoverAgents: async () => Promise.resolve(agents.map((it) => it.info.agentUrl)),
        onLeadershipLost: () => {
          isDeposed = true;
        },
      });
      owned.add({ dispose: () => won.lease.abandon() });
      owned.add(leader);
      const held = { name, leader, won, isDeposed: () => isDeposed };
      leaders.push(held);
      await leader.takeOver();
      return held;
    },
    dispose: owned.dispose,
  };
};
