/**
 * Case 2: a job whose start was turned away counts as begun. GET of the queue leaves it out. See claim.txt.
 */
import path from 'node:path';
import url from 'node:url';

import * as site from '../lib/site.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const IS_TROUBLED = process.env.TROUBLE !== '0';

const PREFIX = '/lohu930/';
const FILLERS = 10;
const FILLER_MS = 25_000;
const JOB = '00000000000000d3';
const JOB_MS = 3000;
const GREY_MS = 6500;
const ASK_EVERY_MS = 200;
const ASK_FOR_MS = 14_000;
/** Jobs accepted longer ago than `visible_ms` and this count. */
const SLACK_MS = 2000;

const main = async () => {
  const s = await site.startSite({
    capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 8 },
    durationOf: (task) => (task.startsWith(JOB) ? JOB_MS : FILLER_MS),
    recordPath: path.join(HERE, 'record.txt'),
  });
  let code = 2;
  try {
    s.configure(1, [
      { name: 'r-1', prefix: PREFIX, slo_ms: 500, prio: 0, attempts: 2, stretch: 1.5 },
    ]);
    await site.sleep(12_000);
    const step = { count: 1, cpu: 26_000, mem_mb: 110_000, gpu: 8 };
    for (let index = 0; index < FILLERS; index += 1) {
      const steps = [{ ...step, est_ms: FILLER_MS }];
      await s.call('POST', `${PREFIX}00000000000f000${index}`, { spec: 'long', steps });
    }
    await site.sleep(1500);
    const idle = s.minions.filter(({ running }) => running.size === 0);
    if (idle.length !== 1) return code;
    if (IS_TROUBLED) {
      idle[0].faults.refusesStarts = true;
      s.record(`minion ${idle[0].id} answers each run-start with 503 from here on`);
    }
    const greyUntil = performance.now() + GREY_MS;
    const submitted = await s.call('POST', PREFIX + JOB, {
      spec: 'short',
      steps: [{ ...step, est_ms: JOB_MS }],
    });
    const acceptedAt = performance.now();
    let isGrey = IS_TROUBLED;
    let asked = 0;
    let wrong = 0;
    while (performance.now() < acceptedAt + ASK_FOR_MS) {
      await site.sleep(ASK_EVERY_MS);
      if (isGrey && performance.now() >= greyUntil) {
        isGrey = false;
        idle[0].faults.refusesStarts = false;
        s.record(`minion ${idle[0].id} takes starts again`);
      }
      const isOld = performance.now() > acceptedAt + site.BOUNDS.visible_ms + SLACK_MS;
      if (isOld) await s.call('GET', PREFIX + JOB);
      const { status, text } = await s.call('GET', PREFIX);
      const hasBegun = s.runs.some(({ task }) => task.startsWith(JOB));
      if (isOld && !hasBegun && status === 200) {
        asked += 1;
        if (JSON.parse(text).pending < 0.5) wrong += 1;
      }
    }
    const begun = s.runs.find(({ task }) => task.startsWith(JOB));
    const waited = begun === undefined ? 'never' : `${Math.round(begun.startedAt - acceptedAt)} ms`;
    const summary =
      `submitted: ${submitted.status}; first start after: ${waited}; asked ${asked} times while the job had ` +
      `waited over ${site.BOUNDS.visible_ms + SLACK_MS} ms, ${wrong} answers left it out`;
    s.record(summary);
    process.stdout.write(`${summary}\n`);
    if (submitted.status === 200) code = wrong > 0 ? 1 : 0;
  } finally {
    s.recordRuns();
    s.writeRecord();
    await s.close();
  }
  return code;
};
process.exit(await main());
