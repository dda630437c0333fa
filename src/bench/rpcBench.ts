/**
 * Compares the cost of a tRPC call with a plain HTTP exchange. Client and server run in one process on
 * loopback, so that both share one core's time.
 */
import * as http from '../base/common/http.js';
import * as systemClock from '../base/node/systemClock.js';
import * as entryRouter from '../protocol/node/entryRouter.js';
import * as httpClient from '../transport/node/httpClient.js';
import * as httpServer from '../transport/node/httpServer.js';
import * as rpcClient from '../transport/node/rpcClient.js';
import * as rpcServer from '../transport/node/rpcServer.js';

const CALLS = 3000;
const WARM_UP = 500;
const AT_ONCE = 8;
const SECRET = 'bench-secret-of-no-value';
const MICROSECONDS_PER_MS = 1000;

const from = { processId: 'bench', role: 'agent', configVersion: 1 } as const;

const registration = {
  from,
  bootId: 'boot-1',
  clockMs: 1,
  url: 'http://127.0.0.1:1',
  zone: 'zone-a',
  region: 'region-a',
  upstream: {
    upstreamId: 'upstream-1',
    slots: 8,
    connections: 64,
    isLeaving: false,
    running: 3,
    queued: 0,
    serviceMs: 40,
  },
  isLeaving: false,
};

const cpuMsOf = async (calls: number, one: () => Promise<unknown>): Promise<number> => {
  const lane = async (count: number): Promise<void> => {
    for (let index = 0; index < count; index += 1) await one();
  };
  const before = process.cpuUsage();
  const lanes = Array.from({ length: AT_ONCE }, () => lane(Math.floor(calls / AT_ONCE)));
  await Promise.all(lanes);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MS / calls;
};

/**
 * @param _args - unused
 * @param print - called with each line of the results
 */
export const runRpcBench = async (
  _args: readonly string[],
  print: (line: string) => void,
): Promise<void> => {
  const router = entryRouter.createEntryRouter({
    register: () => Promise.resolve({ from, entryUrls: [], nextAfterMs: 1000 }),
    configuration: () => Promise.resolve({ from }),
    agents: () => Promise.resolve({ from, agentUrls: [] }),
    version: () => Promise.resolve({ from }),
    overview: () => Promise.resolve({ from, agents: [] }),
    directory: () => Promise.resolve({ from, agents: [] }),
  });
  const plain = httpServer.toListener(
    (request) => Promise.resolve({ status: 200, body: request.body }),
    rpcServer.MAX_RPC_BYTES,
  );
  const server = await httpServer.listen(
    { host: '127.0.0.1', port: 0, maxBodyBytes: 1_048_576, maxConnections: 64 },
    rpcServer.createRpcListener(router, SECRET, plain),
  );
  const client = httpClient.createHttpClient({
    clock: systemClock.systemClock,
    maxConnections: AT_ONCE,
    maxIdleMs: 20_000,
    maxReplyBytes: 1_048_576,
  });
  const clients = rpcClient.createRpcClients({
    call: client.call,
    timeoutMs: 3000,
    peerSecret: SECRET,
  });
  const url = http.formatAddress(server.address);
  const body = Buffer.from(JSON.stringify(registration));
  const rpc = (): Promise<unknown> => clients.entry(url).register(registration);
  const exchange = (): Promise<unknown> =>
    client.call({
      address: server.address,
      method: 'POST',
      path: '/plain',
      headers: { 'content-type': 'application/json' },
      body,
      timeoutMs: 3000,
    });
  await cpuMsOf(WARM_UP, rpc);
  await cpuMsOf(WARM_UP, exchange);
  const rpcMs = await cpuMsOf(CALLS, rpc);
  const plainMs = await cpuMsOf(CALLS, exchange);
  print(`tRPC call, client and server: ${rpcMs.toFixed(3)} ms of CPU`);
  print(`plain exchange, client and server: ${plainMs.toFixed(3)} ms of CPU`);
  print(`ratio: ${(rpcMs / plainMs).toFixed(2)}; body of a registration: ${body.length} bytes`);
  await client.dispose();
  await server.dispose();
};
