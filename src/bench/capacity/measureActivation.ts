/**
 * Measures the time from writing a configuration until it is active at every entry, by number of entries.
 */
import * as perfHooks from 'node:perf_hooks';

import * as configurationStore from '../../coordination/node/configurationStore.js';
import * as smallConfiguration from '../../programs/test/smallConfiguration.js';

import type * as measurement from './measurement.js';
import type * as rigs from './rig.js';
import * as rig from './rig.js';

const SIZES = [1, 4, 12] as const;
const CHANGES = 5;
const AGENT_SENDER = { processId: 'agent-bench', role: 'agent', configVersion: 0 } as const;

const write = async (parts: rigs.Rig, baseVersion: number): Promise<void> => {
  const change = {
    baseVersion,
    writeId: `change-${baseVersion}`,
    author: 'bench',
    reason: 'measure',
    document: smallConfiguration.smallConfiguration(1),
  };
  await configurationStore.writeConfiguration(parts.store, change, Date.now());
};

const hasVersion = async (parts: rigs.Rig, url: string, version: number): Promise<boolean> => {
  const reply = await parts.clients.entry(url).configuration({ from: AGENT_SENDER });
  return reply.from.configVersion >= version;
};

/**
 * @param recorder - collects the measurements
 */
export const measureActivation = async (recorder: measurement.Recorder): Promise<void> => {
  for (const size of SIZES) {
    const parts = await rig.startRig(1);
    const indexes = Array.from({ length: size }, (_unused, index) => index);
    const entries = await Promise.all(indexes.map((index) => parts.startEntry(`entry-${index}`)));
    const urls = entries.map((it) => it.started.get('url') ?? '');
    const isActiveAtAll = async (version: number): Promise<boolean> => {
      const have = await Promise.all(urls.map((it) => hasVersion(parts, it, version)));
      return have.every((it) => it);
    };
    await parts.until('the first version active at all entries', () => isActiveAtAll(1));
    let slowestMs = 0;
    for (let version = 1; version <= CHANGES; version += 1) {
      const startedMs = perfHooks.performance.now();
      await write(parts, version);
      await parts.until('the change active at all entries', () => isActiveAtAll(version + 1));
      slowestMs = Math.max(slowestMs, perfHooks.performance.now() - startedMs);
    }
    recorder.point('inForceAtEntriesMs by entries', size, slowestMs);
    await parts.dispose();
  }
};
