/**
 * Case 2: eleven jobs that last run on eleven minions. One minion goes down and up by turns for 6.5 s. Its job is shown as
 * failed for good, although no run of it has failed and its minion is sound again. See claim.txt.
 */
import path from 'node:path';
import url from 'node:url';

import * as site from '../lib/site.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const IS_TROUBLED = process.env.TROUBLE !== '0';

const PREFIX = '/lohu930/';
const JOBS = 11;
const jobIdOf = (index) => `00000000000c2${index.toString(16).padStart(3, '0')}`;
const FLAP_FOR_MS = 6500;
const FLAP_PERIOD_MS = 1400;
const FLAP_AFTER_MS = 2000;
/** Without disruption, after which the job is looked at. */
const CALM_MS = 20_000;
/** LOST: 6 s after its last run, and 3 s with nothing running. */
const LEFT_ALONE_MS = 9000;
const EST_MS = 9700;

const waitFor = async (condition, limitMs) => {
  const until = performance.now() + limitMs;
  while (performance.now() < until) {
    const value = condition();
    if (value !== undefined) return value;
    await site.sleep(20);
  }
  return undefined;
};

const main = async () => {
  const s = await site.startSite({
    capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 8 },
    durationOf: () => Infinity,
    recordPath: path.join(HERE, 'record.txt'),
  });
  let code = 2;
  try {
    s.configure(1, [
      { name: 'r-1', prefix: PREFIX, slo_ms: 500, prio: 0, attempts: 2, stretch: 1.5 },
    ]);
    await site.sleep(12_000);
    const step = {
      count: 1,
      cpu: 26_000,
      mem_mb: 110_000,
      gpu: 8,
      est_ms: EST_MS,
      long_running: true,
    };
    let accepted = 0;
    for (let index = 0; index < JOBS; index += 1) {
      const job = { spec: `service ${index}`, steps: [step] };
      const { status } = await s.call('POST', PREFIX + jobIdOf(index), job);
      if (status === 200) accepted += 1;
    }
    const all = await waitFor(() => (s.runs.length >= JOBS ? s.runs : undefined), 15_000);
    const first = all?.[0];
    let downs = 0;
    if (IS_TROUBLED && first !== undefined) {
      await site.sleep(FLAP_AFTER_MS);
      const index = s.minions.findIndex(({ id }) => id === first.id);
      const until = performance.now() + FLAP_FOR_MS;
      while (performance.now() < until) {
        downs += 1;
        await s.crashMinion(s.minions[index].id, FLAP_PERIOD_MS / 2);
        await site.sleep(FLAP_PERIOD_MS / 2);
      }
      s.record('the machine stays up from here on');
    }
    await site.sleep(CALM_MS);
    let broken = 0;
    for (let index = 0; index < JOBS; index += 1) {
      const { text: state } = await s.call('GET', PREFIX + jobIdOf(index));
      const its = s.runs.filter(({ task }) => task.startsWith(jobIdOf(index)));
      const failedEnds = its.filter(({ how }) => how === 'failed').length;
      const isRunning = its.some(({ how }) => how === undefined);
      const idleMs = isRunning ? 0 : performance.now() - (its.at(-1)?.endedAt ?? 0);
      const isShownFailed = state.includes('failed') && failedEnds === 0;
      if (isShownFailed || idleMs > LEFT_ALONE_MS) {
        broken += 1;
        s.record(
          `LOST: ${jobIdOf(index)} is shown as ${state}; ${its.length} runs, ${failedEnds} of them ended failed; ` +
            `nothing of it has run for ${Math.round(idleMs)} ms`,
        );
      }
    }
    const summary =
      `${accepted} of ${JOBS} jobs accepted; a machine went down ${downs} times; ` +
      `LOST broken for ${broken} jobs`;
    s.record(summary);
    process.stdout.write(`${summary}\n`);
    if (accepted === JOBS && first !== undefined) code = broken > 0 ? 1 : 0;
  } finally {
    s.recordRuns();
    s.writeRecord();
    await s.close();
  }
  return code;
};
process.exit(await main());
