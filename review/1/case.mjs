/**
 * Case 1: many short tasks end on one minion while the platform's store is down for 4.5 s. The minion then lists its
 * ends 500 at a time. See claim.txt.
 */
import path from 'node:path';
import url from 'node:url';

import * as site from '../lib/site.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const IS_TROUBLED = process.env.TROUBLE !== '0';

const JOBS = 25;
const TASKS_PER_JOB = 50;
const OUTAGE_MS = 4500;
const PREFIX = '/lohu930/';
/** Two of the eleven minions are in this rack. */
const RACK = 'r1-4';

const jobIdOf = (index) => (0xb100000000n + BigInt(index)).toString(16).padStart(16, '0');
const SUBMIT_EVERY_MS = 300;
/** From the first submission to the outage; the tasks end in the 3.2 s after it. */
const OUTAGE_AFTER_MS = 9500;
const ENDS_WITHIN_MS = 3200;

/** Jobs that were submitted later have shorter tasks; their ends are spread evenly over all jobs. */
const durationOf = (task) => {
  const [id, , , index] = task.split('.');
  const job = Number(BigInt(`0x${id}`) - 0xb100000000n);
  const total = JOBS * TASKS_PER_JOB;
  const place = ((job * TASKS_PER_JOB + Number(index)) * 7919) % total;
  return OUTAGE_AFTER_MS - job * SUBMIT_EVERY_MS + (place * ENDS_WITHIN_MS) / total;
};

const main = async () => {
  const s = await site.startSite({
    capacity: { cpu: 64_000, mem_mb: 262_144, gpu: 8 },
    durationOf,
    recordPath: path.join(HERE, 'record.txt'),
  });
  let code = 2;
  try {
    s.configure(1, [
      { name: 'r-1', prefix: PREFIX, slo_ms: 3000, prio: 2, attempts: 3, stretch: 3 },
    ]);
    await site.sleep(12_000);
    const step = { count: TASKS_PER_JOB, cpu: 100, mem_mb: 64, est_ms: 7000, requires: RACK };
    const submittedAt = performance.now();
    const answers = [];
    for (let index = 0; index < JOBS; index += 1) {
      const job = { spec: `job ${index}`, steps: [step] };
      answers.push(s.call('POST', PREFIX + jobIdOf(index), job));
      await site.sleep(submittedAt + (index + 1) * SUBMIT_EVERY_MS - performance.now());
    }
    const accepted = (await Promise.all(answers)).filter(({ status }) => status === 200).length;
    await site.sleep(submittedAt + OUTAGE_AFTER_MS - performance.now());
    const begun = s.runs.length;
    const endedBefore = s.runs.filter(({ how }) => how !== undefined).length;
    s.record(`${accepted} jobs accepted, ${begun} tasks started, ${endedBefore} ended`);
    if (IS_TROUBLED) {
      s.record(`the store goes down for ${OUTAGE_MS} ms; its leases pause`);
      s.platform.goDown(OUTAGE_MS);
    }
    await site.sleep(OUTAGE_MS);
    const unseen = (id) =>
      s.runs.filter((it) => it.id === id && it.how !== undefined && it.seenAt === undefined).length;
    for (const { id } of s.minions) {
      if (unseen(id) > 0) s.record(`minion ${id} lists ${unseen(id)} ends that are not noted`);
    }
    s.record(IS_TROUBLED ? 'the store answers again' : 'no outage');
    await site.sleep(25_000);
    const states = await Promise.all(
      Array.from({ length: JOBS }, (_, index) => s.call('GET', PREFIX + jobIdOf(index))),
    );
    const complete = states.filter(({ text }) => text.includes('"complete"')).length;
    const breaks = s.twice();
    for (const { kind, a, b } of breaks) {
      s.record(
        `TWICE (${kind}): ${a.task} run ${a.run} on ${a.id} ended ${a.how} as its end ${a.number} and ` +
          `was noted ${Math.round(a.seenAt - a.endedAt)} ms later; run ${b.run} started on ${b.id} ` +
          `${Math.round(b.startedAt - a.endedAt)} ms after that end`,
      );
    }
    const summary =
      `${accepted} of ${JOBS} jobs accepted, ${complete} complete; ${s.runs.length} starts of ` +
      `${JOBS * TASKS_PER_JOB} tasks; TWICE broken ${breaks.length} times; ` +
      `${s.exits.length} processes ended by themselves`;
    s.record(summary);
    process.stdout.write(`${summary}\n`);
    if (accepted === JOBS && begun >= JOBS * TASKS_PER_JOB) code = breaks.length > 0 ? 1 : 0;
  } finally {
    s.recordRuns();
    s.writeRecord();
    await s.close();
  }
  return code;
};
process.exit(await main());
