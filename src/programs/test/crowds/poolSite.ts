/**
 * A pool program as a process of its own with lowered limits, against a store in the test's process.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

import * as systemClock from '../../../base/node/systemClock.js';
import * as bootFile from '../../../platform/test/bootFile.js';
import * as storeServer from '../../../platform/test/storeServer.js';
import * as memoryStore from '../../../standins/memoryStore.js';
import * as portBlock from '../../../standins/test/portBlock.js';
import * as until from '../../../standins/test/until.js';

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../../bin');

/** Descriptors of a process that the platform keeps for files; the others are sockets and pipes. */
const FILE_DESCRIPTORS = 200;

const KB_PER_MB = 1024;
const SAMPLE_MS = 20;

/** Limits of the process under test. */
export interface SiteLimits {
  readonly memoryMb: number;
  /** Part of the memory that the heap may take. */
  readonly heapMb: number;
  readonly maxFds: number;
}

/** Ports of the process under test. */
export interface SitePorts {
  readonly front: number;
  readonly ready: number;
  readonly peers: number;
  readonly control: number;
}

/** How a site is started. */
export interface SiteOptions {
  readonly program: 'poolEntry' | 'poolScheduler' | 'poolAgent';
  readonly limits: SiteLimits;
  readonly hasConfiguration?: boolean;
  readonly graceS?: number;
}

/** An answer to an ordinary call. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** The process under test. */
export interface PoolSite {
  readonly ports: SitePorts;
  readonly store: memoryStore.MemoryStore;
  readonly child: childProcess.ChildProcess;
  /** Lines that it has logged. */
  readonly logLines: () => readonly string[];
  /** Highest resident memory so far. */
  readonly peakMemoryMb: () => number;
  /** Highest number of sockets seen so far. */
  readonly peakSockets: () => number;
  readonly stopStore: () => Promise<void>;
  readonly dispose: () => Promise<void>;
}

/**
 * @param port - a port of the process
 * @param method - HTTP method
 * @param target - path
 * @param body - the body
 * @param headers - further headers
 * @returns the answer to one ordinary call over a connection of its own
 */
export const ask = (
  port: number,
  method: string,
  target: string,
  body = '',
  headers: Readonly<Record<string, string>> = {},
): Promise<Answer> =>
  new Promise((resolve, reject) => {
    const request = http.request({
      host: '127.0.0.1',
      port,
      method,
      path: target,
      agent: false,
      headers: { ...bootFile.API_KEY_HEADERS, ...headers },
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    request.end(body);
  });

/**
 * @param processId - a process of the test
 * @returns its highest resident memory so far
 */
export const peakMemoryMbOf = (processId: number): number => {
  const status = fs.readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? Infinity) / KB_PER_MB;
};

const countSockets = (processId: number): number => {
  const folder = `/proc/${processId}/fd`;
  const isSocket = (name: string): boolean => {
    try {
      return fs.readlinkSync(path.join(folder, name)).startsWith('socket:');
    } catch {
      return false;
    }
  };
  try {
    return fs.readdirSync(folder).filter(isSocket).length;
  } catch {
    return 0;
  }
};

const collectLines = (child: childProcess.ChildProcess): string[] => {
  const lines: string[] = [];
  let rest = '';
  child.stdout?.on('data', (piece: Buffer) => {
    const parts = (rest + piece.toString('utf8')).split('\n');
    rest = parts.pop() ?? '';
    lines.push(...parts);
  });
  return lines;
};

/**
 * @param options - program and limits
 * @returns the process, once it listens and has read its configuration
 */
export const startPoolSite = async (options: SiteOptions): Promise<PoolSite> => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-crowd-'));
  const block = await portBlock.reservePorts(process.pid);
  const at = (offset: number): number => block.firstPort + offset;
  const peers = at(options.program === 'poolScheduler' ? 1 : 0);
  const ports = { peers, front: at(20), ready: at(21), control: at(22) };
  const store = memoryStore.createMemoryStore(systemClock.systemClock);
  if (options.hasConfiguration !== false) {
    await store.transact({ conditions: [], puts: [bootFile.CONFIGURATION], removes: [] });
  }
  const served = await storeServer.serveStore(store);
  let isStoreUp = true;
  const stopStore = async (): Promise<void> => {
    if (!isStoreUp) return;
    isStoreUp = false;
    await served.dispose();
  };
  const { memoryMb, heapMb, maxFds } = options.limits;
  const env = bootFile.writeBootFile(folder, {
    nodeId: 'node-1',
    peerPort: at(0),
    storeAddress: storeServer.formatServerAddress(served),
    front: ports.front,
    ready: ports.ready,
    control: ports.control,
    ...(options.program === 'poolAgent' ? { workerAddress: '127.0.0.1:1' } : {}),
    limits: { memoryMb, maxFds },
    ...(options.graceS === undefined ? {} : { graceS: options.graceS }),
  });
  const flags = [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=4'];
  const script = path.join(BIN, `${options.program}.js`);
  const child = childProcess.spawn(process.execPath, [...flags, script], {
    env: { ...process.env, ...env },
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const lines = collectLines(child);
  let peakSockets = 0;
  const sampler = setInterval(() => {
    peakSockets = Math.max(peakSockets, countSockets(child.pid ?? 0));
  }, SAMPLE_MS);
  await until.until('the process has started', async () => {
    if (child.exitCode !== null) throw new Error(`ended with ${child.exitCode}`);
    if (!lines.some((it) => it.includes('event=started'))) return false;
    if (options.program !== 'poolEntry' || options.hasConfiguration === false) return true;
    return (await ask(ports.ready, 'GET', '/-/ready')).status === 200;
  });
  return {
    ports,
    store,
    child,
    logLines: () => lines,
    peakMemoryMb: () => peakMemoryMbOf(child.pid ?? 0),
    peakSockets: () => peakSockets,
    stopStore,
    dispose: async () => {
      clearInterval(sampler);
      child.kill('SIGKILL');
      await stopStore();
      await block.dispose();
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
};

/**
 * Waits for an answer, but not once the process has ended.
 *
 * @param site - the process under test
 * @param what - description for the error message
 * @param isAnswered - condition to poll
 */
export const untilAnswered = (
  { child }: PoolSite,
  what: string,
  isAnswered: () => Promise<boolean>,
): Promise<void> =>
  until.until(what, async () => {
    const hasEnded = child.exitCode !== null || child.signalCode !== null;
    return hasEnded || isAnswered();
  });

/**
 * Checks what must hold under any crowd.
 *
 * @param site - the process under test
 * @param limits - its limits
 */
export const assertWithinLimits = (site: PoolSite, limits: SiteLimits): void => {
  const { exitCode, signalCode } = site.child;
  assert.deepEqual([exitCode, signalCode], [null, null], 'the process has ended');
  const memoryMb = Math.round(site.peakMemoryMb());
  assert.ok(memoryMb <= limits.memoryMb, `${memoryMb} MB of ${limits.memoryMb} MB`);
  const sockets = site.peakSockets();
  const maxSockets = limits.maxFds - FILE_DESCRIPTORS;
  assert.ok(sockets <= maxSockets, `${sockets} of ${maxSockets} sockets`);
};
