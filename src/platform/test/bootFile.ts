/**
 * Creates the platform's settings files for tests that run the real programs.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as operatorConfiguration from '../operatorConfiguration.js';

/** Addresses and ports of one program of a test. */
export interface BootFile {
  readonly nodeId: string;
  /** First port for connections between programs. */
  readonly peerPort: number;
  readonly storeAddress: string;
  /** Ports of an entry. */
  readonly front?: number;
  readonly ready?: number;
  /** Port on which an agent receives its worker's heartbeats. */
  readonly control?: number;
  readonly workerAddress?: string;
  /** Zones that may be evacuated, and the time after which nothing starts there; absent where none are. */
  readonly evacuation?: { readonly zones: readonly string[]; readonly evacuateMs: number };
  /** What the process may use; absent where the platform sets no limit. */
  readonly limits?: { readonly memoryMb: number; readonly maxFds: number };
  /** Time after SIGTERM at which the process is killed; 6 s if absent. */
  readonly graceS?: number;
}

/**
 * @param folder - folder for the file
 * @param file - its content
 * @returns the environment variable with its path
 */
export const writeBootFile = (folder: string, file: BootFile): Record<string, string> => {
  const listen = (['front', 'ready', 'control'] as const)
    .filter((name) => file[name] !== undefined)
    .map((name) => `${name} = "127.0.0.1:${String(file[name])}"`);
  const worker =
    file.workerAddress === undefined ? '' : `app = "${file.workerAddress}"\nbackend = "service"`;
  const { zones = [], evacuateMs = 0 } = file.evacuation ?? {};
  const evacuation =
    file.evacuation === undefined
      ? ''
      : [
          `evacuate_ms = ${evacuateMs}`,
          '[zones]',
          ...zones.map((zone) => `${zone} = "region"`),
        ].join('\n');
  const limits =
    file.limits === undefined
      ? ''
      : `[limits]\nmemory_mb = ${file.limits.memoryMb}\nmax_fds = ${file.limits.maxFds}`;
  const text = `
node = "${file.nodeId}"
ip = "127.0.0.1"
zone = "zone"
region = "region"
port_range = [${file.peerPort}, ${file.peerPort + 9}]
heartbeat_ms = 300
${worker}
[listen]
${listen.join('\n')}
${limits}
[platform]
addr = "${file.storeAddress}"
ttl_min_ms = 1000
[bounds]
grace_s = ${file.graceS ?? 6}
hold_max_ms = 6000
status_s = 120
revoke_ms = 5000
ack_ms = 5000
gang_ms = 3000
${evacuation}
`;
  const target = path.join(folder, `${file.nodeId}.toml`);
  fs.writeFileSync(target, text);
  return { AUBURNLIFT_BOOT: target };
};

/** Configuration record that the programs watch. */
export const CONFIGURATION = {
  key: operatorConfiguration.CONFIGURATION_KEY,
  value: JSON.stringify({
    version: 1,
    routes: [
      { name: 'q', host: 'h', prefix: '/q/', backend: 'service', attempts: 3, stretch: 3, prio: 1 },
    ],
    services: [{ name: 'service' }],
    tenants: [{ name: 't', api_keys: ['key'], guaranteed: { gpu: 8 } }],
  }),
};

/** Headers of a client's calls, with its credential. */
export const API_KEY_HEADERS = { 'auburnlift-key': 'key', host: 'h' };

/** The credential as a line of a request's head, for tests that send heads themselves. */
export const API_KEY_LINE = `auburnlift-key: ${API_KEY_HEADERS['auburnlift-key']}\r\n`;

/** Path of a worker's heartbeats. */
export const HEARTBEAT_PATH = '/-/Instances.Heartbeat/i-1';
