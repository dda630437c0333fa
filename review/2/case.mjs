/**
 * Case 2: one heartbeat of another writer, which names a service that the configuration does not have, makes the agent drop
 * its own minion. A task that runs there is started a second time elsewhere. See claim.txt.
 */
import path from 'node:path';
import url from 'node:url';

import * as site from '../lib/site.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const IS_TROUBLED = process.env.TROUBLE !== '0';

const PREFIX = '/lohu930/';
const JOBS = 4;
const WORK_MS = 9000;
const STRAY_AFTER_MS = 2000;
const jobIdOf = (index) => `00000000000e000${index}`;

const main = async () => {
  const s = await site.startSite({
    capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 8 },
    durationOf: () => WORK_MS,
    recordPath: path.join(HERE, 'record.txt'),
  });
  let code = 2;
  try {
    s.configure(1, [
      { name: 'r-1', prefix: PREFIX, slo_ms: 1200, prio: 1, attempts: 3, stretch: 3 },
    ]);
    await site.sleep(12_000);
    const step = { count: 1, cpu: 26_000, mem_mb: 110_000, gpu: 8, est_ms: WORK_MS };
    let accepted = 0;
    for (let index = 0; index < JOBS; index += 1) {
      const job = { spec: `plan ${index}`, steps: [step] };
      const { status } = await s.call('POST', PREFIX + jobIdOf(index), job);
      if (status === 200) accepted += 1;
    }
    await site.sleep(STRAY_AFTER_MS);
    const begun = s.runs.length;
    const minion = s.minions.find(({ id }) => id === s.runs[0]?.id);
    if (IS_TROUBLED && minion !== undefined) {
      const beat = {
        backend: 'fume07q',
        addr: '127.0.0.1:9',
        zone: 'sudvestur-a',
        version: 'v1',
        slots: 2,
        state: 'ready',
        cold_left_ms: 0,
        clock_ms: 100,
        seq: 1,
        born: Date.now() - 100,
      };
      const status = await minion.post('/-/Instances.Heartbeat/i-9e0d11aa', beat);
      s.record(
        `a stray heartbeat at the agent of ${minion.id}: ${JSON.stringify(beat)} -> ${status}`,
      );
    }
    await site.sleep(28_000);
    const breaks = s.twice();
    for (const { kind, a, b } of breaks) {
      s.record(
        `TWICE (${kind}): ${a.task} run ${a.run} on ${a.id} and run ${b.run} on ${b.id}; the second started ` +
          `${Math.round(b.startedAt - a.startedAt)} ms after the first, which took ${Math.round(a.endedAt - a.startedAt)} ms`,
      );
    }
    const summary =
      `${accepted} of ${JOBS} jobs accepted, ${begun} tasks begun before; ${s.runs.length} starts in all; ` +
      `TWICE broken ${breaks.length} times`;
    s.record(summary);
    process.stdout.write(`${summary}\n`);
    if (accepted === JOBS && begun === JOBS) code = breaks.length > 0 ? 1 : 0;
  } finally {
    s.recordRuns();
    s.writeRecord();
    await s.close();
  }
  return code;
};
process.exit(await main());
