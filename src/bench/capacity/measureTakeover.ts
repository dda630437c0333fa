/**
 * Measures how long a new scheduler takes to lead a cell after a release, by the cell's number of workers.
 */
import * as perfHooks from 'node:perf_hooks';

import * as fakeAgents from './fakeAgents.js';
import type * as measurement from './measurement.js';
import * as rig from './rig.js';

const SIZES = [10, 40, 160] as const;
const MS_PER_SECOND = 1000;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const measureSize = async (size: number, recorder: measurement.Recorder): Promise<void> => {
  const parts = await rig.startRig(size);
  const agents = await fakeAgents.startFakeAgents(size, parts.peerSecret);
  const first = await parts.startScheduler('scheduler-1');
  const firstUrl = first.started.get('url') ?? '';
  await parts.until('the cell has a leader', async () => {
    await Promise.all(agents.map((it) => parts.clients.scheduler(firstUrl).report(it.report())));
    return true;
  });
  await sleep(MS_PER_SECOND);
  const second = await parts.startScheduler('scheduler-2');
  const secondUrl = second.started.get('url') ?? '';
  await first.terminate();
  const releasedMs = perfHooks.performance.now();
  const [agent] = agents;
  await parts.until('the cell has a new leader', async () => {
    if (agent !== undefined) await parts.clients.scheduler(secondUrl).report(agent.report());
    return true;
  });
  const tookMs = perfHooks.performance.now() - releasedMs;
  recorder.point('takeOverAfterReleaseMs by workers', size, tookMs);
  await second.kill();
  for (const it of agents) await it.dispose();
  await parts.dispose();
};

/**
 * @param recorder - collects the measurements
 */
export const measureTakeover = async (recorder: measurement.Recorder): Promise<void> => {
  for (const size of SIZES) await measureSize(size, recorder);
};
