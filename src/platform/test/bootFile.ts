/**
 * Settings files of the platform for tests with real programs.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as operatorConfiguration from '../operatorConfiguration.js';

/** Where one program of a test listens and whom it reaches. */
export interface BootFile {
  readonly nodeId: string;
  /** First port between programs. */
  readonly peerPort: number;
  readonly storeAddress: string;
  /** Ports of an entry. */
  readonly front?: number;
  readonly ready?: number;
  /** Port on which an agent hears its worker. */
  readonly control?: number;
  readonly workerAddress?: string;
}

/**
 * @param folder - where the file goes
 * @param file - what it says
 * @returns the environment variable that names it
 */
export const writeBootFile = (folder: string, file: BootFile): Record<string, string> => {
  const listen = (['front', 'ready', 'control'] as const)
    .filter((name) => file[name] !== undefined)
    .map((name) => `${name} = "127.0.0.1:${String(file[name])}"`);
  const worker =
    file.workerAddress === undefined ? '' : `app = "${file.workerAddress}"\nbackend = "service"`;
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
[platform]
addr = "${file.storeAddress}"
ttl_min_ms = 1000
[bounds]
grace_s = 6
hold_max_ms = 6000
status_s = 120
revoke_ms = 5000
gang_ms = 3000
`;
  const target = path.join(folder, `${file.nodeId}.toml`);
  fs.writeFileSync(target, text);
  return { AUBURNLIFT_BOOT: target };
};

/** The record of the configuration that the programs follow. */
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

/** Header that carries a client's credential. */
export const KEY_HEADERS = { 'auburnlift-key': 'key', host: 'h' };
