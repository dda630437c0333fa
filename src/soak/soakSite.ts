/**
 * A soak's deployment on one machine: the product's programs as processes, stand-ins for the platform,
 * and links between them whose traffic can be disturbed.
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
import * as linkProxy from './linkProxy.js';
import * as supervisedProcess from './supervisedProcess.js';

/** Number of processes and workers of a site. */
export interface SoakSizes {
  readonly entries: number;
  readonly schedulers: number;
  readonly workers: number;
}

/** Parameters of a site. */
export interface SiteOptions {
  readonly sizes: SoakSizes;
  /** Folder for settings files and logs. */
  readonly folder: string;
  /** First of the ports that the site uses. */
  readonly basePort: number;
  /** Returns the size of the gang that a task belongs to. */
  readonly gangOf: (task: string) => number;
  /** Whether links to the store have low bandwidth and each configuration is larger than the previous one. */
  readonly isLowBandwidth: boolean;
}

/** A process with the links that faults on it may disturb. */
export interface SoakNode {
  readonly process: supervisedProcess.SupervisedProcess;
  readonly lines: readonly linkProxy.LinkProxy[];
  /** Whether the store refuses this process while it serves the others. */
  isStoreDenied: boolean;
}

/** A running site. */
export interface SoakSite extends disposable.Disposable {
  readonly entries: readonly SoakNode[];
  readonly schedulers: readonly SoakNode[];
  readonly agents: readonly SoakNode[];
  readonly workers: readonly memoryPoolWorker.MemoryPoolWorker[];
  readonly store: memoryStore.MemoryStore;
  /** Ports at which callers reach the entries, through a link. */
  readonly callerPorts: readonly number[];
  readonly readyPorts: readonly number[];
  /** Processes that exited unexpectedly. */
  readonly failures: readonly string[];
  /** Writes the next version of the configuration, with these keys. */
  readonly configure: (apiKeys: readonly string[]) => Promise<void>;
  /** Evacuates a zone, or takes it back; settled once the store has confirmed it. */
  readonly setEvacuated: (zone: string, isEvacuated: boolean) => Promise<void>;
  readonly runs: () => evidence.WorkerRun[];
}

/** Accelerators of each worker. */
export const ACCELERATORS = 8;

/** Zones of the workers, in turn. */
export const ZONES = ['zone-a', 'zone-b'] as const;

/** Nothing starts in a zone later than this after its evacuation. */
export const EVACUATE_MS = 5000;

/**
 * @param index - index of a worker
 * @returns a label that no other worker has
 */
export const labelOf = (index: number): string => `worker-${index}`;

/** Host name, path and attempts of the one queue. */
export const QUEUE = { host: 'h', pathPrefix: '/q/', attempts: 3 } as const;

/** Delay before a failed write of a configuration is retried. */
const WRITE_RETRY_MS = 200;

/** Size of the port range of each process. */
const PORTS_PER_NODE = 12;

const MAX_LEASE_MS = 6000;
const GANG_MS = 3000;

const workMsOf = (task: string): number => {
  let sum = 0;
  for (const letter of task) sum = (sum * 31 + letter.charCodeAt(0)) % 1009;
  return 200 + 1.5 * sum;
};

/** Queues that each version adds to the configuration, and their maximum (half a megabyte). */
const QUEUES_PER_VERSION = 700;
const MAX_ADDED_QUEUES = 2800;

const configurationText = (
  version: number,
  apiKeys: readonly string[],
  addedQueues: number,
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
  const added = Array.from({ length: addedQueues }, (_, index) => ({
    ...queue,
    name: `grown-${index}`,
    prefix: `/grown${index}/`,
    slo_ms: 500,
    timeout_ms: 3000,
  }));
  return JSON.stringify({
    version,
    routes: [queue, ...added],
    services: [{ name: 'service' }],
    tenants: [{ name: 'customer', api_keys: apiKeys, guaranteed: { gpu: ACCELERATORS } }],
  });
};

/**
 * @param options - parameters of the site
 * @returns the site, with all its processes started
 */
export const startSite = async (options: SiteOptions): Promise<SoakSite> => {
  const owned = disposable.createDisposableStore();
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  const failures: string[] = [];
  const gangBoard = memoryPoolWorker.createGangRegistry();
  const agentLinkPorts = new Map<string, number>();
  let version = 0;
  let nodeCount = 0;

  const openLink = async (
    targetPort: number,
    isLowBandwidth = false,
  ): Promise<linkProxy.LinkProxy> =>
    owned.add(await linkProxy.openLink(targetPort, isLowBandwidth));

  const allocatePorts = (): number => {
    nodeCount += 1;
    return options.basePort + (nodeCount - 1) * PORTS_PER_NODE;
  };

  /** Leaders reach agents at the address in the store; it is replaced by the address of the link. */
  const redirect = (put: recordStore.Put): recordStore.Put => {
    if (!put.key.startsWith(poolKeys.AGENTS)) return put;
    const port = agentLinkPorts.get(put.key.slice(poolKeys.AGENTS.length));
    return { ...put, value: addressRecord.formatAddressRecord(`http://127.0.0.1:${String(port)}`) };
  };

  /** The store with the access of one process. */
  const storeFor = (isStoreDenied: () => boolean): recordStore.RecordStore => {
    const checkAccess = (): void => {
      if (isStoreDenied()) throw errors.fail('storeUnavailable', 'the store refuses this machine');
    };
    return {
      get: async (key) => {
        checkAccess();
        return store.get(key);
      },
      list: async (prefix) => {
        checkAccess();
        return store.list(prefix);
      },
      grantLease: async (ttlMs) => {
        checkAccess();
        return store.grantLease(ttlMs);
      },
      renewLease: async (leaseId) => {
        checkAccess();
        return store.renewLease(leaseId);
      },
      revokeLease: async (leaseId) => {
        checkAccess();
        return store.revokeLease(leaseId);
      },
      watch: async (...args) => {
        checkAccess();
        return store.watch(...args);
      },
      transact: async (transaction) => {
        checkAccess();
        return store.transact({ ...transaction, puts: transaction.puts.map(redirect) });
      },
    };
  };

  const startNode = async (
    name: string,
    program: string,
    ports: { readonly peerPort: number; readonly front?: number; readonly ready?: number },
    worker: { readonly control: number; readonly workerAddress: string } | undefined,
    workerLink: linkProxy.LinkProxy | undefined,
  ): Promise<SoakNode> => {
    const state = { isStoreDenied: false };
    const server = owned.add(await storeServer.serveStore(storeFor(() => state.isStoreDenied)));
    const storeLink = await openLink(server.address.port, options.isLowBandwidth);
    const env = bootFile.writeBootFile(options.folder, {
      nodeId: name,
      storeAddress: `127.0.0.1:${storeLink.port}`,
      ...ports,
      ...worker,
      evacuation: { zones: ZONES, evacuateMs: EVACUATE_MS },
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
    const lines = [storeLink, ...(workerLink === undefined ? [] : [workerLink])];
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
          zone: ZONES[index % ZONES.length] ?? '',
          state: 'ready',
          capacity: { cpuMillicores: 64_000, memoryMb: 64_000, accelerators: ACCELERATORS },
          labels: ['a', 'r1', labelOf(index)],
        },
        workMs: workMsOf,
        gangOf: options.gangOf,
        maxLeaseMs: MAX_LEASE_MS,
        gangMs: GANG_MS,
      },
      gangBoard,
    );
    owned.add(worker);
    const name = `side-${index}`;
    const ports = allocatePorts();
    const [peerPort, control] = [ports, ports + 11];
    const server = owned.add(await workerServer.serveWorker(worker, control));
    const workerLink = await openLink(server.server.address.port);
    const agentLink = await openLink(peerPort);
    agentLinkPorts.set(name, agentLink.port);
    const workerPorts = { control, workerAddress: `127.0.0.1:${workerLink.port}` };
    const node = await startNode(name, 'poolAgent', { peerPort }, workerPorts, workerLink);
    return { node: Object.assign(node, { lines: [...node.lines, agentLink] }), worker };
  };

  const startEntry = async (
    index: number,
  ): Promise<{ node: SoakNode; doorPort: number; readyPort: number }> => {
    const ports = allocatePorts();
    const [peerPort, front, ready] = [ports, ports + 10, ports + 11];
    const callerLink = await openLink(front);
    const listen = { peerPort, front, ready };
    const node = await startNode(`edge-${index}`, 'poolEntry', listen, undefined, callerLink);
    return { node, doorPort: callerLink.port, readyPort: ready };
  };

  /** @returns whether the text is known to be in the store */
  const tryToWrite = async (text: string): Promise<boolean> => {
    const key = operatorConfiguration.CONFIGURATION_KEY;
    try {
      const current = await store.get(key);
      if (current?.value === text) return true;
      // A delayed write must not restore an older version.
      const conditions = [{ key, revision: current?.revision ?? 0 }];
      const put = { key, value: text };
      const result = await store.transact({ conditions, puts: [put], removes: [] });
      return result.isCommitted;
    } catch {
      // The injected store fault may have failed the call; the write is retried until it is confirmed.
      return false;
    }
  };
  let lastWrite = Promise.resolve();
  const configure = (apiKeys: readonly string[]): Promise<void> => {
    version += 1;
    const addedQueues = options.isLowBandwidth
      ? Math.min(version * QUEUES_PER_VERSION, MAX_ADDED_QUEUES)
      : 0;
    const text = configurationText(version, apiKeys, addedQueues);
    lastWrite = lastWrite.then(async () => {
      while (!(await tryToWrite(text))) await clock.sleep(systemClock.systemClock, WRITE_RETRY_MS);
    });
    return lastWrite;
  };

  const setEvacuated = async (zone: string, isEvacuated: boolean): Promise<void> => {
    const key = `${operatorConfiguration.EVACUATIONS_PREFIX}${zone}`;
    const change = isEvacuated
      ? { puts: [{ key, value: '{}' }], removes: [] }
      : { puts: [], removes: [key] };
    for (;;) {
      try {
        const result = await store.transact({ conditions: [], ...change });
        if (result.isCommitted) return;
      } catch {
        // The injected store fault may have failed the call; it is repeated until it is confirmed.
      }
      await clock.sleep(systemClock.systemClock, WRITE_RETRY_MS);
    }
  };

  await configure([]);
  const { sizes } = options;
  const startEach = <T>(length: number, make: (index: number) => Promise<T>): Promise<T[]> =>
    Promise.all(Array.from({ length }, (_, index) => make(index)));
  const workerNodes = await startEach(sizes.workers, startWorker);
  const entries = await startEach(sizes.entries, startEntry);
  const schedulers = await startEach(sizes.schedulers, (index) => {
    const name = `plan-${index}`;
    return startNode(name, 'poolScheduler', { peerPort: allocatePorts() }, undefined, undefined);
  });
  const workers = workerNodes.map((it) => it.worker);
  return {
    entries: entries.map((it) => it.node),
    schedulers,
    agents: workerNodes.map((it) => it.node),
    workers,
    store,
    callerPorts: entries.map((it) => it.doorPort),
    readyPorts: entries.map((it) => it.readyPort),
    failures,
    configure,
    setEvacuated,
    runs: () =>
      workers.flatMap((worker, workerIndex) => {
        const { zone } = worker.info();
        return worker.runs.map((run) => ({ ...run, workerIndex, zone }));
      }),
    dispose: () => owned.dispose(),
  };
};

/** Path of the log of a site's process. */
export const logPath = (folder: string, name: string): string => path.join(folder, `${name}.log`);
