/**
 * Services shared by the parts of a program: log, metrics, connections and clients of other processes.
 */
import * as crypto from 'node:crypto';
import * as v8 from 'node:v8';

import type * as clock from '../base/common/clock.js';
import * as disposable from '../base/common/disposable.js';
import * as event from '../base/common/event.js';
import type * as http from '../base/common/http.js';
import type * as logging from '../base/common/logging.js';
import * as metrics from '../base/common/metrics.js';
import * as random from '../base/common/random.js';
import * as log from '../base/node/log.js';
import * as systemClock from '../base/node/systemClock.js';
import * as configurationHolder from '../coordination/common/configurationHolder.js';
import type * as envelope from '../protocol/common/envelope.js';
import * as clientLimits from '../state/common/clientLimits.js';
import * as connectionGuard from '../transport/node/connectionGuard.js';
import * as httpClient from '../transport/node/httpClient.js';
import * as rpcClient from '../transport/node/rpcClient.js';

/** A running program. */
export interface Program extends disposable.Disposable {
  /** Address for other processes. */
  readonly peersUrl: string;
  /** Finishes what is in flight, within the settings' limit, and releases everything. */
  readonly shutdown: () => Promise<void>;
  /** Stops immediately, as a killed process does. */
  readonly dispose: () => Promise<void>;
}

/** Settings that all programs have. */
export interface CommonSettings {
  readonly processId: string;
  readonly peerSecret: string;
  readonly logLevel: logging.LogLevel;
  readonly clientLimits?: clientLimits.ClientLimitSettings;
}

/** Services that every program has. */
export interface ProcessContext {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly newId: () => string;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly owned: disposable.DisposableStore;
  readonly http: httpClient.HttpClient;
  readonly clients: rpcClient.RpcClients;
  readonly configuration: configurationHolder.ConfigurationHolder;
  /** Fires with the configuration version of each answer from another process. */
  readonly onDidReceiveVersion: event.Event<rpcClient.PeerVersion>;
  readonly sender: () => envelope.Sender;
  /** Limits on clients, at all ports of the process. */
  readonly guard: connectionGuard.ConnectionGuard;
  readonly peerHeaders: Readonly<Record<string, string>>;
}

/** Maximum number of connections to one address. */
const MAX_CONNECTIONS = 64;

/** Below the usual idle timeouts of balancers and firewalls, which start at a minute. */
const MAX_IDLE_MS = 20_000;

const MAX_REPLY_BYTES = 67_108_864;

/** Calls between processes take milliseconds; after this timeout the peer counts as unreachable. */
const RPC_TIMEOUT_MS = 3000;

/**
 * @param role - which program
 * @param settings - its settings
 * @returns the services, owned by the program
 */
export const createProcessContext = (
  role: envelope.Sender['role'],
  settings: CommonSettings,
): ProcessContext => {
  const owned = disposable.createDisposableStore();
  const timeSource = systemClock.systemClock;
  const client = owned.add(
    httpClient.createHttpClient({
      clock: timeSource,
      maxConnections: MAX_CONNECTIONS,
      maxIdleMs: MAX_IDLE_MS,
      maxReplyBytes: MAX_REPLY_BYTES,
    }),
  );
  const receivedVersions = owned.add(event.createEmitter<rpcClient.PeerVersion>());
  const configuration = configurationHolder.createConfigurationHolder();
  const { processId, peerSecret, logLevel } = settings;
  const logger = log.createLog(logLevel, { role, processId });
  const counters = metrics.createMetrics();
  const heapBytes = v8.getHeapStatistics().heap_size_limit;
  const guard = owned.add(
    connectionGuard.createConnectionGuard({
      limits: clientLimits.deriveClientLimits({ heapBytes }, settings.clientLimits),
      clock: timeSource,
      log: logger,
      metrics: counters,
    }),
  );
  const call: http.HttpCall = (request) => client.call(request);
  return {
    clock: timeSource,
    random: random.createRandom(crypto.randomInt(2 ** 31)),
    newId: () => crypto.randomUUID(),
    log: logger,
    metrics: counters,
    owned,
    http: client,
    clients: rpcClient.createRpcClients({
      call,
      timeoutMs: RPC_TIMEOUT_MS,
      peerSecret,
      recordVersion: receivedVersions.fire,
    }),
    onDidReceiveVersion: receivedVersions.event,
    configuration,
    guard,
    sender: () => ({ processId, role, configVersion: configuration.version() }),
    peerHeaders: { [rpcClient.PEER_SECRET_HEADER]: peerSecret },
  };
};
