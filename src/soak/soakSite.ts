/**
 * What a soak runs on one machine: the product's programs as processes, the platform's side as stand-ins,
 * and a line that can be harmed between any two of them.
 */
import * as path from 'node:path';

import * as clock from '../base/common/clock.js';
import * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import * as systemClock from '../base/node/systemClock.js';
import * as addressRecord from '../coordination/common/pool/addressRecord.js';
import * as operatorConfiguration from '../platform/operatorConfiguration.js';
import * as bootFile from '../platform/test/bootFile.js';
import * as storeServer from '../platform/test/storeServer.js';
import * as workerServer from '../platform/test/workerServer.js';
import * as memoryPoolWorker from '../standins/memoryPoolWorker.js';
import * as memoryStore from '../standins/memoryStore.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import type * as recordStore from '../state/common/pool/recordStore.js';
import type * as evidence from './evidence.js';
import * as lineProxy from './lineProxy.js';
import * as supervisedProcess from './supervisedProcess.js';

/** How much of everything runs. */
export interface SoakSizes {
  readonly entries: number;
  readonly schedulers: number;
  readonly workers: number;
}

/** What a site is made from. */
export interface SiteOptions {
  readonly sizes: SoakSizes;
  /** Folder for settings files and logs. */
  readonly folder: string;
  /** First of the ports that the site uses. */
  readonly basePort: number;
  /** Size of the gang that a task belongs to. */
  readonly gangOf: (task: string) => number;
  /** Whether lines to the store are narrow, and each configuration is larger than the one before. */
  readonly isNarrow: boolean;
}

/** A process with the lines that begin at it. */
export interface SoakNode {
  readonly process: supervisedProcess.SupervisedProcess;
  readonly lines: readonly lineProxy.LineProxy[];
  /** The store turns this process away and serves the others. */
  isTurnedAway: boolean;
}

/** A running site. */
export interface SoakSite extends disposable.Disposable {
  readonly entries: readonly SoakNode[];
  readonly schedulers: readonly SoakNode[];
  readonly agents: readonly SoakNode[];
  readonly workers: readonly memoryPoolWorker.MemoryPoolWorker[];
  readonly store: memoryStore.MemoryStore;
  /** Ports at which callers reach the entries, over a line. */
  readonly doorPorts: readonly number[];
  readonly readyPorts: readonly number[];
  /** Processes that ended by themselves. */
  readonly failures: readonly string[];
  /** Writes the next version of the configuration, with these keys. */
  readonly configure: (apiKeys: readonly string[]) => Promise<void>;
  readonly runs: () => evidence.WorkerRun[];
}

/** Accelerators of each worker. */
export const ACCELERATORS = 8;

/** Host name and path of the one queue. */
export const QUEUE = { host: 'h', pathPrefix: '/q/', attempts: 3 } as const;

/** Before the operator writes a configuration again. */
const WRITE_AGAIN_MS = 200;

/** Ports of each process: its own, and those between processes. */
const PORTS_PER_NODE = 12;

const MAX_LEASE_MS = 6000;
const GANG_MS = 3000;

const workMsOf = (task: string): number => {
  let sum = 0;
  for (const letter of task) sum = (sum * 31 + letter.charCodeAt(0)) % 1009;
  return 200 + 1.5 * sum;
};

/** Queues by which a configuration grows with each version, and the most; half a megabyte. */
const GROWTH = 700;
const MAX_GROWN = 2800;

const configurationText = (
  version: number,
  apiKeys: readonly string[],
  grownQueues: number,
): string => {
  const queue = {
    name: 'queue',
    host: QUEUE.host,
    prefix: QUEUE.pathPrefix,
    backend: 'service',
    attempts: QUEUE.attempts,
    stretch: 3,
    prio: version % 2,
  };
  const grown = Array.from({ length: grownQueues }, (_, index) => ({
    ...queue,
    name: `grown-${index}`,
    prefix: `/grown${index}/`,
    slo_ms: 500,
    timeout_ms: 3000,
  }));
  return JSON.stringify({
    version,
    routes: [queue, ...grown],
    services: [{ name: 'service' }],
    tenants: [{ name: 'customer', api_keys: apiKeys, guaranteed: { gpu: ACCELERATORS } }],
  });
};

/**
 * @param options - what the site is made from
 * @returns the site, with all its processes started
 */
export const startSite = async (options: SiteOptions): Promise<SoakSite> => {
  const owned = disposable.createDisposableStore();
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  const failures: string[] = [];
  const board = memoryPoolWorker.createGangBoard();
  const agentLinePorts = new Map<string, number>();
  let version = 0;
  let nodeCount = 0;

  const openLine = async (targetPort: number, isNarrow = false): Promise<lineProxy.LineProxy> =>
    owned.add(await lineProxy.openLine(targetPort, isNarrow));

  const takePorts = (): number => {
    nodeCount += 1;
    return options.basePort + (nodeCount - 1) * PORTS_PER_NODE;
  };

  /** Leaders reach agents at the address that stands in the store: there the line is put between. */
  const redirect = (put: recordStore.Put): recordStore.Put => {
    if (!put.key.startsWith(poolKeys.AGENTS)) return put;
    const port = agentLinePorts.get(put.key.slice(poolKeys.AGENTS.length));
    return { ...put, value: addressRecord.formatAddressRecord(`http://127.0.0.1:${String(port)}`) };
  };

  /** The store as one process sees it. */
  const storeFor = (isTurnedAway: () => boolean): recordStore.RecordStore => {
    const enter = (): void => {
      if (isTurnedAway()) throw errors.fail('storeUnavailable', 'this machine is turned away');
    };
    return {
      get: async (key) => {
        enter();
        return store.get(key);
      },
      list: async (prefix) => {
        enter();
        return store.list(prefix);
      },
      grantLease: async (ttlMs) => {
        enter();
        return store.grantLease(ttlMs);
      },
      renewLease: async (leaseId) => {
        enter();
        return store.renewLease(leaseId);
      },
      revokeLease: async (leaseId) => {
        enter();
        return store.revokeLease(leaseId);
      },
      watch: async (...args) => {
        enter();
        return store.watch(...args);
      },
      transact: async (transaction) => {
        enter();
        return store.transact({ ...transaction, puts: transaction.puts.map(redirect) });
      },
    };
  };

  const startNode = async (
    name: string,
    program: string,
    ports: { readonly peerPort: number; readonly front?: number; readonly ready?: number },
    worker: { readonly control: number; readonly workerAddress: string } | undefined,
    workerLine: lineProxy.LineProxy | undefined,
  ): Promise<SoakNode> => {
    const state = { isTurnedAway: false };
    const served = owned.add(await storeServer.serveStore(storeFor(() => state.isTurnedAway)));
    const storeLine = await openLine(served.address.port, options.isNarrow);
    const env = bootFile.writeBootFile(options.folder, {
      nodeId: name,
      storeAddress: `127.0.0.1:${storeLine.port}`,
      ...ports,
      ...worker,
    });
    const process = owned.add(
      supervisedProcess.supervise({
        name,
        program,
        env,
        folder: options.folder,
        onDidFail: (reason) => failures.push(reason),
      }),
    );
    const lines = [storeLine, ...(workerLine === undefined ? [] : [workerLine])];
    return Object.assign(state, { process, lines });
  };

  const startWorker = async (
    index: number,
  ): Promise<{ node: SoakNode; worker: memoryPoolWorker.MemoryPoolWorker }> => {
    const worker = memoryPoolWorker.createMemoryPoolWorker(
      {
        clock: systemClock.systemClock,
        info: {
          workerId: `w${index}`,
          incarnationMs: 1,
          service: 'service',
          zone: 'zone',
          state: 'ready',
          capacity: { cpuMillicores: 64_000, memoryMb: 64_000, accelerators: ACCELERATORS },
          labels: ['a', 'r1'],
        },
        workMs: workMsOf,
        gangOf: options.gangOf,
        maxLeaseMs: MAX_LEASE_MS,
        gangMs: GANG_MS,
      },
      board,
    );
    owned.add(worker);
    const name = `side-${index}`;
    const ports = takePorts();
    const [peerPort, control] = [ports, ports + 11];
    const server = owned.add(await workerServer.serveWorker(worker, control));
    const workerLine = await openLine(server.server.address.port);
    const agentLine = await openLine(peerPort);
    agentLinePorts.set(name, agentLine.port);
    const sides = { control, workerAddress: `127.0.0.1:${workerLine.port}` };
    const node = await startNode(name, 'poolAgent', { peerPort }, sides, workerLine);
    return { node: Object.assign(node, { lines: [...node.lines, agentLine] }), worker };
  };

  const startEntry = async (
    index: number,
  ): Promise<{ node: SoakNode; doorPort: number; readyPort: number }> => {
    const ports = takePorts();
    const [peerPort, front, ready] = [ports, ports + 10, ports + 11];
    const door = await openLine(front);
    const listen = { peerPort, front, ready };
    const node = await startNode(`edge-${index}`, 'poolEntry', listen, undefined, door);
    return { node, doorPort: door.port, readyPort: ready };
  };

  /** @returns whether the text stands in the store for certain */
  const tryToWrite = async (text: string): Promise<boolean> => {
    const key = operatorConfiguration.CONFIGURATION_KEY;
    try {
      const current = await store.get(key);
      if (current?.value === text) return true;
      // A copy that takes effect late must not put an older version back.
      const conditions = [{ key, revision: current?.revision ?? 0 }];
      const put = { key, value: text };
      const result = await store.transact({ conditions, puts: [put], removes: [] });
      return result.isCommitted;
    } catch {
      // The store is made to fail: the operator tries again until it has an answer.
      return false;
    }
  };
  let lastWrite = Promise.resolve();
  const configure = (apiKeys: readonly string[]): Promise<void> => {
    version += 1;
    const grownQueues = options.isNarrow ? Math.min(version * GROWTH, MAX_GROWN) : 0;
    const text = configurationText(version, apiKeys, grownQueues);
    lastWrite = lastWrite.then(async () => {
      while (!(await tryToWrite(text))) await clock.sleep(systemClock.systemClock, WRITE_AGAIN_MS);
    });
    return lastWrite;
  };

  await configure([]);
  const { sizes } = options;
  const count = <T>(length: number, make: (index: number) => Promise<T>): Promise<T[]> =>
    Promise.all(Array.from({ length }, (_, index) => make(index)));
  const sites = await count(sizes.workers, startWorker);
  const entries = await count(sizes.entries, startEntry);
  const schedulers = await count(sizes.schedulers, (index) => {
    const name = `plan-${index}`;
    return startNode(name, 'poolScheduler', { peerPort: takePorts() }, undefined, undefined);
  });
  const workers = sites.map((it) => it.worker);
  return {
    entries: entries.map((it) => it.node),
    schedulers,
    agents: sites.map((it) => it.node),
    workers,
    store,
    doorPorts: entries.map((it) => it.doorPort),
    readyPorts: entries.map((it) => it.readyPort),
    failures,
    configure,
    runs: () =>
      workers.flatMap((worker, workerIndex) => worker.runs.map((run) => ({ ...run, workerIndex }))),
    dispose: () => owned.dispose(),
  };
};

/** Log of a process of a site. */
export const logPath = (folder: string, name: string): string => path.join(folder, `${name}.log`);
