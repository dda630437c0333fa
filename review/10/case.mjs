/**
 * One minion fails what it starts for some seconds. A task whose run fails there may not go back to that minion as long as
 * any other minion is large enough for it when empty, even if those are taken for good.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import * as cases from '../stand-ins-3/case.mjs';
import { waitFor } from '../stand-ins-3/record.mjs';

const LASTING_ID = '1100000000000000';
const PLAN_ID = '2200000000000000';
const LASTING = { count: 10, cpu: 33_000, mem_mb: 39_000, long_running: true, max_per_server: 1 };
/** Two of them fit on an empty minion of 64 cores, none beside a task of 33 cores. */
const PLAN = { count: 1, cpu: 32_000, mem_mb: 110_000, gpu: 1, est_ms: 1500 };
const WORK_MS = 4000;
/** `srv_grey`, errors: "for_s = 6.5". */
const GREY_MS = 6500;
const WATCH_MS = 34_000;

await cases.playCase(import.meta.dirname, async ({ site, jobs, record }) => {
  const isLasting = () => cases.liveRuns(site, LASTING_ID).length === LASTING.count;
  await jobs.submit(site, '/plan/', LASTING_ID, { spec: 'lasting', steps: [LASTING] });
  if (!(await waitFor(isLasting, 5000))) return cases.COULD_NOT_RUN;
  await sleep(2000);
  const empty = site.sides.find(({ minion }) => minion.live().length === 0).minion;
  if (cases.isTrouble) {
    record.write('trouble', {
      what: 'fails all that it starts',
      minion: empty.id(),
      forMs: GREY_MS,
    });
    empty.setFailing(true);
    setTimeout(() => {
      empty.setFailing(false);
      record.write('troubleOver');
    }, GREY_MS);
  }
  const accepted = await jobs.submit(
    site,
    '/plan/',
    PLAN_ID,
    { spec: 'plan', steps: [PLAN] },
    { workMs: WORK_MS },
  );
  if (!accepted) return cases.COULD_NOT_RUN;
  const trafficEndsAtMs = record.now();
  let state;
  let stalledFromMs;
  let longestMs = 0;
  while (record.now() - trafficEndsAtMs < WATCH_MS) {
    const nowMs = record.now();
    const isOver = nowMs - trafficEndsAtMs >= cases.FINISH_MS;
    const isIdle = cases.liveRuns(site, PLAN_ID).length === 0;
    const room = jobs.roomFor(site, PLAN);
    const used = cases.usedShare(site, jobs);
    state = await site.stateOf(site.edges[0], '/plan/', PLAN_ID);
    const isStalled =
      isOver && isIdle && room >= 2 && used < 0.5 && (state === 'queued' || state === 'running');
    stalledFromMs = isStalled ? (stalledFromMs ?? nowMs) : undefined;
    if (isStalled) longestMs = Math.max(longestMs, record.now() - stalledFromMs);
    record.write('seen', {
      state,
      isIdle,
      roomForIt: room,
      used: used.toFixed(2),
      isLasting: isLasting(),
    });
    if (state === 'complete' || state === 'failed') break;
    await sleep(500);
  }
  const isBroken = longestMs >= cases.WINDOW_MS;
  record.write('verdict', { rule: 'LOST', isBroken, nothingRunsForMs: longestMs, state });
  if (isBroken) return cases.BROKEN;
  return state === 'complete' ? cases.HELD : cases.COULD_NOT_RUN;
});
