/**
 * Hosts every role and stand-in of a deployment in one process on loopback.
 */
import * as crypto from 'node:crypto';

import * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import * as systemClock from '../base/node/systemClock.js';
import * as agent from '../programs/agent.js';
import * as entry from '../programs/entry.js';
import type * as processContext from '../programs/processContext.js';
import * as scheduler from '../programs/scheduler.js';
import * as memoryStore from '../standins/memoryStore.js';
import * as memoryWorker from '../standins/memoryWorker.js';
import * as storeServer from '../standins/storeServer.js';
import * as upstream from '../standins/upstream.js';
import * as workerServer from '../standins/workerServer.js';
import type * as configuration from '../state/common/configuration.js';
import type * as settings from '../state/common/settings.js';
import * as httpClient from '../transport/node/httpClient.js';

import type * as deployment from './deployment.js';
import * as standinHost from './standinHost.js';

/** Options of the host. */
export interface DevHostOptions {
  readonly deployment: deployment.Deployment;
  readonly document: configuration.ConfigurationDocument;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
  /** Time for a draining program to finish open work; an entry accepts requests for a quarter of it. */
  readonly drainMs?: number;
}

/** One VM with its agent and stand-ins. */
export interface DevVm {
  readonly zone: string;
  readonly region: string;
  readonly workerId: string;
  readonly agent: processContext.Program;
  readonly worker: memoryWorker.MemoryWorker;
  readonly upstream: upstream.Upstream;
}

/** An entry with its region. */
export interface DevEntry {
  readonly region: string;
  readonly program: entry.EntryProgram;
}

/** The running host with its programs and stand-ins. */
export interface DevHost extends disposable.Disposable {
  readonly store: memoryStore.MemoryStore;
  readonly storeUrl: string;
  readonly entries: readonly DevEntry[];
  readonly schedulers: readonly processContext.Program[];
  readonly vms: readonly DevVm[];
  /** An operator token with the write role. */
  readonly operatorToken: string;
  readonly dispose: () => Promise<void>;
}

const LOOPBACK = { host: '127.0.0.1', port: 0 } as const;
const LEASE_MS = 3000;
const STORE_TIMEOUT_MS = 1000;
const REPORT_MS = 500;
const DRAIN_MS = 5000;
const MAX_BODY_BYTES = 1_048_576;
const SALT_BYTES = 16;
const HASH_BYTES = 32;

const operatorTokenFor = (token: string): settings.OperatorToken => {
  const salt = crypto.randomBytes(SALT_BYTES);
  return {
    operatorId: 'dev',
    role: 'write',
    saltHex: salt.toString('hex'),
    hashHex: crypto.scryptSync(token, salt, HASH_BYTES).toString('hex'),
  };
};

/**
 * @param options - the deployment and its first configuration
 * @returns the host, with everything started
 */
export const startDevHost = async (options: DevHostOptions): Promise<DevHost> => {
  const owned = disposable.createDisposableStore();
  const clock = systemClock.systemClock;
  const store = memoryStore.createMemoryStore(clock);
  const storeHttp = owned.add(await storeServer.serveStore(store));
  const storeUrl = http.formatAddress(storeHttp.address);
  const client = owned.add(
    httpClient.createHttpClient({
      clock,
      maxConnections: 64,
      maxIdleMs: 20_000,
      maxReplyBytes: MAX_BODY_BYTES,
    }),
  );
  const peerSecret = crypto.randomBytes(24).toString('hex');
  const operatorToken = crypto.randomBytes(24).toString('hex');
  const operatorTokens = [operatorTokenFor(operatorToken)];
  await standinHost.writeFirstConfiguration(store, options.document);
  const { logLevel, drainMs = DRAIN_MS } = options;
  const common = { peerSecret, logLevel, drainMs, peers: LOOPBACK };
  const storeAccess = { storeUrl, storeTimeoutMs: STORE_TIMEOUT_MS, leaseMs: LEASE_MS };
  const entries: DevEntry[] = [];
  const schedulers: processContext.Program[] = [];
  const vms: DevVm[] = [];

  const startEntryVm = async (region: string, zone: string, index: number): Promise<void> => {
    const location = { region, zone };
    const program = await entry.startEntry({
      ...common,
      ...storeAccess,
      ...location,
      processId: `entry-${zone}-${index}`,
      callers: LOOPBACK,
      operators: LOOPBACK,
      operatorTokens,
      maxBodyBytes: MAX_BODY_BYTES,
      maxOpenRequests: 10_000,
    });
    entries.push({ region, program });
    owned.add(program);
    const processId = `scheduler-${zone}-${index}`;
    const schedulerSettings = { ...common, ...storeAccess, ...location, processId };
    schedulers.push(owned.add(await scheduler.startScheduler(schedulerSettings)));
  };
  const startVm = async (region: string, zone: string, index: number): Promise<void> => {
    const { worker: workerSize, upstream: service, workersPerRack } = options.deployment;
    const workerId = `worker-${zone}-${index}`;
    const worker = owned.add(memoryWorker.createMemoryWorker(clock));
    const workerHttp = owned.add(await workerServer.serveWorker(worker));
    const program = await agent.startAgent({
      ...common,
      region,
      zone,
      processId: `agent-${zone}-${index}`,
      entryUrls: entries.filter((it) => it.region === region).map((it) => it.program.peersUrl),
      worker: {
        ...workerSize,
        workerId,
        url: http.formatAddress(workerHttp.address),
        rack: `rack-${zone}-${Math.floor(index / workersPerRack)}`,
      },
      reportMs: REPORT_MS,
      maxQueued: service.slots * 4,
      maxBodyBytes: MAX_BODY_BYTES,
    });
    owned.add(program);
    const instance = await upstream.startUpstream({
      ...service,
      upstreamId: `upstream-${zone}-${index}`,
      agentUrl: program.peersUrl,
      clock,
      call: client.call,
    });
    owned.add(instance);
    vms.push({ zone, region, workerId, agent: program, worker, upstream: instance });
  };
  for (const { region, zone, entries: count } of options.deployment.zones) {
    for (let index = 0; index < count; index += 1) await startEntryVm(region, zone, index);
  }
  for (const { region, zone, vms: count } of options.deployment.zones) {
    for (let index = 0; index < count; index += 1) await startVm(region, zone, index);
  }
  return {
    store,
    storeUrl,
    entries,
    schedulers,
    vms,
    operatorToken,
    dispose: owned.dispose,
  };
};
