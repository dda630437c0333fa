/**
 * Services shared by the parts of a pool program: log, metrics, connections, the store and a server for the
 * other processes.
 */
import * as crypto from 'node:crypto';
import * as v8 from 'node:v8';

import type * as clock from '../base/common/clock.js';
import * as disposable from '../base/common/disposable.js';
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';
import type * as logging from '../base/common/logging.js';
import * as metrics from '../base/common/metrics.js';
import * as random from '../base/common/random.js';
import * as log from '../base/node/log.js';
import * as systemClock from '../base/node/systemClock.js';
import * as addressRecord from '../coordination/common/pool/addressRecord.js';
import * as leasedRecord from '../coordination/node/pool/leasedRecord.js';
import * as peerDirectory from '../coordination/node/pool/peerDirectory.js';
import * as storeRelay from '../coordination/node/pool/storeRelay.js';
import * as snapshotAge from '../coordination/node/pool/snapshotAge.js';
import type * as bootSettings from '../platform/bootSettings.js';
import * as platformStore from '../platform/platformStore.js';
import type * as envelope from '../protocol/common/envelope.js';
import * as poolKeys from '../state/common/pool/poolKeys.js';
import type * as poolSettings from '../state/common/pool/poolSettings.js';
import type * as recordStore from '../state/common/pool/recordStore.js';
import * as clientLimits from '../state/common/clientLimits.js';
import * as connectionGuard from '../transport/node/connectionGuard.js';
import * as healthApi from '../transport/node/healthApi.js';
import * as httpClient from '../transport/node/httpClient.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcClient from '../transport/node/rpcClient.js';
import * as rpcServer from '../transport/node/rpcServer.js';

import * as relayRpc from './relayRpc.js';

/** Services that every program of a pool has. */
export interface PoolContext {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly newId: () => string;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly owned: disposable.DisposableStore;
  readonly call: http.HttpCall;
  readonly store: recordStore.RecordStore;
  /** Executes store calls on behalf of other processes. */
  readonly relayStoreCall: http.HttpCall;
  /** Time since the last response of the store. */
  readonly storeAgeMs: () => number;
  /** The active settings; a reload replaces them. */
  readonly settings: () => poolSettings.PoolSettings;
  readonly sender: () => envelope.Sender;
  /** Limits on clients, at all ports of the process. */
  readonly guard: connectionGuard.ConnectionGuard;
  /** Addresses of entries and schedulers on other machines; empty in an agent. */
  readonly peerUrls: (role: poolKeys.PeerRole) => readonly string[];
}

/** A running program of a pool. */
export interface PoolProgram {
  /** Finishes what is in flight and releases everything. */
  readonly shutdown: () => Promise<void>;
}

/** Maximum number of connections to one address; the leader has a few open exchanges with each agent. */
const MAX_CONNECTIONS = 64;

/** Below the usual idle timeouts of balancers and firewalls, which start at a minute. */
const MAX_IDLE_MS = 20_000;

const MAX_REPLY_BYTES = 8_388_608;

/** Part of a process's connections that other processes may take up; the rest is for clients. */
const PEER_SHARE = 0.5;

/**
 * Empty, since the platform gives the processes no common secret; the ports between them are reachable
 * from its own network only.
 */
export const PEER_SECRET = '';

/**
 * Longest wait for the first byte of a store response, which takes 4 ms, 20 ms from a remote zone, and up to 60
 * times as long under load. At the entry a caller is waiting: an early error lets it retry at another
 * entry; the other programs can wait longer.
 */
const STORE_TIMEOUT_MS = { entry: 450, scheduler: 1000, agent: 1000 } as const;

/** Routes to the store: a direct call without response has as much time again for a relay by another process. */
const STORE_ROUTES = 2;

/** Resolution of the random first relay; finer than the number of entries. */
const START_STEPS = 65_536;

/**
 * @param role - which program
 * @param settings - the active settings
 * @returns the services, owned by the program
 */
export const createPoolContext = (
  role: bootSettings.PoolProgram,
  settings: () => poolSettings.PoolSettings,
): PoolContext => {
  const owned = disposable.createDisposableStore();
  const client = owned.add(
    httpClient.createHttpClient({
      clock: systemClock.systemClock,
      maxConnections: MAX_CONNECTIONS,
      maxIdleMs: MAX_IDLE_MS,
      maxReplyBytes: MAX_REPLY_BYTES,
    }),
  );
  const counters = metrics.createMetrics();
  const logger = log.createLog('info', { role, node: settings().nodeId });
  const { processBudget, clientLimits: limitSettings } = settings();
  const heapBytes = v8.getHeapStatistics().heap_size_limit;
  const guard = owned.add(
    connectionGuard.createConnectionGuard({
      limits: clientLimits.deriveClientLimits({ heapBytes, ...processBudget }, limitSettings),
      clock: systemClock.systemClock,
      log: logger,
      metrics: counters,
    }),
  );
  const entriesWithin = (timeoutMs: number): rpcClient.RpcClients =>
    rpcClient.createRpcClients({
      call: client.call,
      timeoutMs,
      transfer: platformStore.TRANSFER_LIMITS,
      peerSecret: PEER_SECRET,
    });
  const sender = (): envelope.Sender => ({
    processId: `${settings().nodeId}.${role}`,
    role,
    configVersion: 0,
  });
  const storeContact = snapshotAge.createSnapshotAge(systemClock.systemClock);
  const relay = storeRelay.createStoreRelay({
    clock: systemClock.systemClock,
    log: logger,
    direct: client.call,
    urls: () => peerUrls(poolKeys.PeerRole.entry),
    startAt: crypto.randomInt(START_STEPS) / START_STEPS,
    ask: (url, request) =>
      relayRpc.askRelay(entriesWithin(request.timeoutMs).poolEntry(url), sender(), request),
  });
  const store = platformStore.createPlatformStore({
    address: () => settings().store,
    call: relay.call,
    metrics: counters,
    clock: systemClock.systemClock,
    timeoutMs: STORE_TIMEOUT_MS[role],
    totalMs: STORE_TIMEOUT_MS[role] * STORE_ROUTES,
    onDidReceive: () => storeContact.confirm(storeContact.now()),
  });
  const directory =
    role === 'agent'
      ? undefined
      : owned.add(
          peerDirectory.startPeerDirectory({
            store,
            clock: systemClock.systemClock,
            log: logger,
            ownUrl: http.formatAddress(settings().peers),
          }),
        );
  const peerUrls: PoolContext['peerUrls'] = (peerRole) => directory?.urls(peerRole) ?? [];
  return {
    clock: systemClock.systemClock,
    random: random.createRandom(crypto.randomInt(2 ** 31)),
    newId: () => crypto.randomUUID(),
    log: logger,
    metrics: counters,
    owned,
    call: client.call,
    store,
    relayStoreCall: relay.serve,
    storeAgeMs: storeContact.ageMs,
    settings,
    sender,
    guard,
    peerUrls,
  };
};

/** Long enough for a restart; the record of a process that does not return expires after it. */
const PRESENCE_LEASE_MS = 6000;

/**
 * @param ctx - shared services of the program
 * @param key - key of the process's record
 * @param url - its address for other processes
 * @returns the leased record that publishes the address, renewed until it is disposed
 */
export const maintainPresence = (
  ctx: PoolContext,
  key: string,
  url: string,
): disposable.Disposable =>
  leasedRecord.maintainLeasedRecord({
    store: ctx.store,
    clock: ctx.clock,
    log: ctx.log,
    key,
    value: addressRecord.formatAddressRecord(url),
    leaseMs: Math.max(PRESENCE_LEASE_MS, ctx.settings().minStoreLeaseMs),
  });

/**
 * Serves the other processes of the system, and health and metrics at the same address.
 *
 * @param ctx - shared services of the program
 * @param router - calls offered to other processes; undefined if there are none
 * @param notReadyReason - why the process should get no traffic now
 * @returns the server
 */
export const listenForPeers = async (
  ctx: PoolContext,
  router: Parameters<typeof rpcServer.createRpcListener>[0] | undefined,
  notReadyReason: () => string | undefined,
): Promise<httpServer.HttpServer> => {
  const local: httpServer.Handler = (request) => {
    const answer = healthApi.answerHealth({ metrics: ctx.metrics, notReadyReason }, request);
    if (answer !== undefined) return Promise.resolve(answer);
    throw errors.fail('notFound', `no page ${request.path}`, { field: 'path' });
  };
  const listener = httpServer.toListener(local, rpcServer.MAX_RPC_BYTES);
  const server = await httpServer.listen(
    {
      ...ctx.settings().peers,
      maxBodyBytes: rpcServer.MAX_RPC_BYTES,
      maxConnections: Math.ceil(ctx.guard.limits.maxConnections * PEER_SHARE),
      guard: ctx.guard,
      name: 'peers',
    },
    router === undefined ? listener : rpcServer.createRpcListener(router, PEER_SECRET, listener),
  );
  return ctx.owned.add(server);
};
