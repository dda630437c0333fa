/**
 * A task that lasts fails once, while a gang of another job waits for machines. It has to run again within 6 s and 3 s,
 * as there is room for it many times over; it waits as long as the gang does.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import * as cases from '../stand-ins-3/case.mjs';
import { waitFor } from '../stand-ins-3/record.mjs';

const LASTING_ID = '1100000000000000';
const GANG_ID = '9900000000000000';
const LASTING = { count: 1, cpu: 5600, mem_mb: 23_000, gpu: 1, long_running: true };
const WIDE = { count: 8, cpu: 26_000, mem_mb: 110_000, gpu: 8, est_ms: 10_000, gang: true };
const WHOLE = { count: 1, cpu: 26_000, mem_mb: 110_000, gpu: 8, est_ms: 45_000 };
const BUSY = 6;
/** RULES.md, LOST: "for each task that lasts, from 6 s after its last run". */
const AFTER_LAST_RUN_MS = 6000;
const WATCH_MS = 30_000;

await cases.playCase(import.meta.dirname, async ({ site, jobs, record }) => {
  for (let index = 0; index < BUSY; index += 1) {
    const id = `220000000000000${index}`;
    await jobs.submit(site, '/plan/', id, { spec: 'busy', steps: [WHOLE] }, { workMs: 45_000 });
  }
  const areBusy = () => cases.liveRuns(site, '22').length === BUSY;
  if (!(await waitFor(areBusy, 5000))) return cases.COULD_NOT_RUN;
  await jobs.submit(site, '/plan/', LASTING_ID, { spec: 'lasting', steps: [LASTING] });
  const isAtWork = () => cases.liveRuns(site, LASTING_ID).length === 1;
  if (!(await waitFor(isAtWork, 5000))) return cases.COULD_NOT_RUN;
  await sleep(1000);
  await jobs.submit(site, '/plan/', GANG_ID, { spec: 'gang', steps: [WIDE] }, { workMs: 10_000 });
  await sleep(4500);
  const [run] = cases.liveRuns(site, LASTING_ID);
  if (run === undefined) return cases.COULD_NOT_RUN;
  if (cases.isTrouble) {
    record.write('trouble', { what: 'the run of the lasting task fails', minion: run.minion });
    run.work.failsAfterMs = 0;
  }
  let lastRunAtMs = record.now();
  let stalledFromMs;
  let longestMs = 0;
  const untilMs = record.now() + WATCH_MS;
  while (record.now() < untilMs) {
    const nowMs = record.now();
    if (isAtWork()) lastRunAtMs = nowMs;
    const room = jobs.roomFor(site, LASTING);
    const isStalled = !isAtWork() && nowMs - lastRunAtMs >= AFTER_LAST_RUN_MS && room >= 2;
    stalledFromMs = isStalled ? (stalledFromMs ?? nowMs) : undefined;
    if (isStalled) longestMs = Math.max(longestMs, nowMs - stalledFromMs);
    const empty = site.sides.filter(({ minion }) => minion.live().length === 0).length;
    record.write('seen', { isAtWork: isAtWork(), roomForIt: room, emptyMinions: empty });
    await sleep(200);
  }
  const state = await site.stateOf(site.edges[0], '/plan/', LASTING_ID);
  const isBroken = longestMs >= cases.WINDOW_MS;
  record.write('verdict', { rule: 'LOST', isBroken, nothingRunsForMs: longestMs, state });
  return isBroken ? cases.BROKEN : cases.HELD;
});
