/**
 * One minion crashes. The tasks of other jobs that were on it start again, each alone on a minion that is then kept from all
 * other jobs for twice as long as the task had run: the deployment is empty but for them, and nothing else starts.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import * as cases from '../stand-ins-3/case.mjs';
import { waitFor } from '../stand-ins-3/record.mjs';

const PLAN_ID = '2200000000000000';
const SMALL_JOBS = 12;
const SMALL = { count: 1, cpu: 4000, mem_mb: 8000, est_ms: 90_000 };
const PLAN = { count: 1, cpu: 5600, mem_mb: 23_000, gpu: 1, est_ms: 3000 };
const WORK_MS = 3000;
const RAN_MS = 20_000;
/** From the crash until the next life of the minion; `srv_crash`: "for_s = 4.5". */
const AWAY_MS = 4000;
const WATCH_MS = 32_000;

await cases.playCase(import.meta.dirname, async ({ site, jobs, record }) => {
  const ids = Array.from({ length: SMALL_JOBS }, (_, index) => `33000000000000${10 + index}`);
  await Promise.all(
    ids.map((id) =>
      jobs.submit(site, '/plan/', id, { spec: 'small', steps: [SMALL] }, { workMs: 90_000 }),
    ),
  );
  const areAtWork = () => cases.liveRuns(site, '33').length === SMALL_JOBS;
  if (!(await waitFor(areAtWork, 5000))) return cases.COULD_NOT_RUN;
  await sleep(RAN_MS);
  const { minion } = site.sides.find((it) => it.minion.live().length > 0);
  record.write('packed', { minion: minion.id(), tasks: minion.live().length });
  if (cases.isTrouble) {
    record.write('trouble', { what: 'crashes', minion: minion.id() });
    await minion.down('crashed');
    await sleep(AWAY_MS);
    await minion.up({ id: `i-${Math.floor(Math.random() * 2 ** 32).toString(16)}` });
  }
  await sleep(2000);
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
    const isOpen = state === 'queued' || state === 'running';
    const isStalled = isOver && isIdle && room >= 2 && used < 0.5 && isOpen;
    stalledFromMs = isStalled ? (stalledFromMs ?? nowMs) : undefined;
    if (isStalled) longestMs = Math.max(longestMs, record.now() - stalledFromMs);
    const perMinion = site.sides.map((it) => it.minion.live().length).join(' ');
    record.write('seen', { state, isIdle, roomForIt: room, used: used.toFixed(2), perMinion });
    if (state === 'complete' || state === 'failed') break;
    await sleep(500);
  }
  const isBroken = longestMs >= cases.WINDOW_MS;
  record.write('verdict', { rule: 'LOST', isBroken, nothingRunsForMs: longestMs, state });
  if (isBroken) return cases.BROKEN;
  return state === 'complete' ? cases.HELD : cases.COULD_NOT_RUN;
});
