/**
 * Starts the real programs as child processes, with a stand-in store and RPC clients for simulated agents.
 */
import * as disposable from '../../base/common/disposable.js';
import * as http from '../../base/common/http.js';
import * as systemClock from '../../base/node/systemClock.js';
import * as configurationStore from '../../coordination/node/configurationStore.js';
import * as childPrograms from '../../programs/test/childPrograms.js';
import * as smallConfiguration from '../../programs/test/smallConfiguration.js';
import * as memoryStore from '../../standins/memoryStore.js';
import * as storeServer from '../../standins/storeServer.js';
import * as httpClient from '../../transport/node/httpClient.js';
import * as rpcClient from '../../transport/node/rpcClient.js';

const PEER_SECRET = 'capacity-bench-secret';
const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;
const WORKER = {
  workerId: 'worker-bench',
  rack: 'rack-bench',
  accelerators: 8,
  cores: 64,
  memoryBytes: 1_073_741_824,
} as const;

/** Period at which agents poll their worker: short, so that a few seconds contain many polls. */
export const WORKER_POLL_MS = 200;

const POLL_MS = 20;
const MAX_POLLS = 1500;

/** Test rig of the measurements. */
export interface Rig {
  readonly store: memoryStore.MemoryStore;
  readonly client: httpClient.HttpClient;
  readonly clients: rpcClient.RpcClients;
  readonly peerSecret: string;
  readonly startEntry: (processId: string) => Promise<childPrograms.ChildProgram>;
  readonly startScheduler: (processId: string) => Promise<childPrograms.ChildProgram>;
  /** Starts an agent, with a worker if `workerUrl` is given. */
  readonly startAgent: (
    processId: string,
    entryUrl: string,
    workerUrl?: string,
  ) => Promise<childPrograms.ChildProgram>;
  readonly until: (what: string, isDone: () => Promise<boolean>) => Promise<void>;
  readonly dispose: () => Promise<void>;
}

const until = async (what: string, isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < MAX_POLLS; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  throw new Error(`condition not met in time: ${what}`);
};

/**
 * @param workers - number of workers in the only cell of the first configuration
 * @returns the rig, with the first configuration written to its store
 */
export const startRig = async (workers: number): Promise<Rig> => {
  const owned = disposable.createDisposableStore();
  const clock = systemClock.systemClock;
  const store = memoryStore.createMemoryStore(clock);
  const storeHttp = owned.add(await storeServer.serveStore(store));
  const programs = owned.add(childPrograms.createChildPrograms());
  const client = owned.add(
    httpClient.createHttpClient({
      clock,
      maxConnections: 16,
      maxIdleMs: 20_000,
      maxReplyBytes: 16_777_216,
    }),
  );
  const clients = rpcClient.createRpcClients({
    call: client.call,
    timeoutMs: 10_000,
    peerSecret: PEER_SECRET,
  });
  await configurationStore.writeConfiguration(
    store,
    {
      baseVersion: 0,
      writeId: 'first',
      author: 'bench',
      reason: 'first',
      document: smallConfiguration.smallConfiguration(workers),
    },
    clock.wallMs(),
  );
  const common = {
    region: 'region-a',
    zone: 'zone-a',
    peers: LOOPBACK,
    peerSecret: PEER_SECRET,
    logLevel: 'info',
    drainMs: 1000,
  };
  const storeAccess = {
    storeUrl: http.formatAddress(storeHttp.address),
    storeTimeoutMs: 2000,
    leaseMs: 3000,
  };
  return {
    store,
    client,
    clients,
    peerSecret: PEER_SECRET,
    until,
    startEntry: (processId) =>
      programs.start('auburnliftEntry', {
        ...common,
        ...storeAccess,
        processId,
        callers: LOOPBACK,
        operators: LOOPBACK,
        operatorTokens: [],
        maxBodyBytes: 1_048_576,
        maxOpenRequests: 1000,
      }),
    startScheduler: (processId) =>
      programs.start('auburnliftScheduler', { ...common, ...storeAccess, processId }),
    startAgent: (processId, entryUrl, workerUrl) =>
      programs.start('auburnliftAgent', {
        ...common,
        processId,
        entryUrls: [entryUrl],
        reportMs: WORKER_POLL_MS,
        ...(workerUrl === undefined ? {} : { worker: { ...WORKER, url: workerUrl } }),
        maxQueued: 32,
        maxBodyBytes: 1_048_576,
      }),
    dispose: owned.dispose,
  };
};
