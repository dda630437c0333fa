/**
 * Hosts only the stand-ins of a deployment, on fixed ports, for programs that run as separate
 * processes.
 */
import * as disposable from '../base/common/disposable.js';
import * as http from '../base/common/http.js';
import * as systemClock from '../base/node/systemClock.js';
import * as configurationStore from '../coordination/node/configurationStore.js';
import * as memoryStore from '../standins/memoryStore.js';
import * as memoryWorker from '../standins/memoryWorker.js';
import * as storeServer from '../standins/storeServer.js';
import * as upstream from '../standins/upstream.js';
import * as workerServer from '../standins/workerServer.js';
import type * as configuration from '../state/common/configuration.js';
import type * as store from '../state/common/store.js';
import * as httpClient from '../transport/node/httpClient.js';

import type * as examples from './examples.js';

/** Port of the store, as configured in the settings under `examples/`. */
export const STORE_PORT = 7400;

/** Port of the first VM's worker; each further VM uses the next port. */
export const FIRST_WORKER_PORT = 7500;

/** Port at which the first VM's upstream contacts its agent; each further VM uses the next port. */
export const FIRST_AGENT_PORT = 7600;

/** Running stand-ins. */
export interface StandinHost extends disposable.Disposable {
  readonly storeUrl: string;
  readonly vmCount: number;
  readonly dispose: () => Promise<void>;
}

/**
 * @param target - an empty store
 * @param document - the first configuration
 */
export const writeFirstConfiguration = async (
  target: store.Store,
  document: configuration.ConfigurationDocument,
): Promise<void> => {
  const change = {
    baseVersion: 0,
    writeId: 'dev-first',
    author: 'dev',
    reason: 'first configuration',
    document,
  };
  await configurationStore.writeConfiguration(target, change, systemClock.systemClock.wallMs());
};

/**
 * @param example - the deployment and its first configuration
 * @returns the stand-ins, listening on their fixed ports
 */
export const startStandinHost = async (example: examples.Example): Promise<StandinHost> => {
  const owned = disposable.createDisposableStore();
  const clock = systemClock.systemClock;
  const target = memoryStore.createMemoryStore(clock);
  await writeFirstConfiguration(target, example.document);
  const storeHttp = owned.add(await storeServer.serveStore(target, STORE_PORT));
  const client = owned.add(
    httpClient.createHttpClient({
      clock,
      maxConnections: 64,
      maxIdleMs: 20_000,
      maxReplyBytes: 1_048_576,
    }),
  );
  const vmCount = example.deployment.zones.reduce((sum, it) => sum + it.vms, 0);
  for (let index = 0; index < vmCount; index += 1) {
    const worker = owned.add(memoryWorker.createMemoryWorker(clock));
    owned.add(await workerServer.serveWorker(worker, FIRST_WORKER_PORT + index));
    const instance = await upstream.startUpstream({
      ...example.deployment.upstream,
      upstreamId: `upstream-${index}`,
      agentUrl: `http://127.0.0.1:${FIRST_AGENT_PORT + index}`,
      clock,
      call: client.call,
    });
    owned.add(instance);
  }
  const storeUrl = http.formatAddress(storeHttp.address);
  return { storeUrl, vmCount, dispose: owned.dispose };
};
