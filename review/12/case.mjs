/**
 * One of eleven minions goes down and up by turns. A task that was at work there is started there again each time, and
 * after the third crash its job is shown as `failed` for good, though no run of it has ended `failed`.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import * as cases from '../stand-ins-3/case.mjs';
import { waitFor } from '../stand-ins-3/record.mjs';

const LASTING_ID = '1100000000000000';
const LASTING = { count: 1, cpu: 5600, mem_mb: 23_000, gpu: 1, long_running: true };
/** `srv_flap`: "share = 0.1, gap_s = 1.4, for_s = 6.5", one minion of eleven. */
const PERIOD_MS = 1400;
const FLAP_MS = 6500;
const AFTER_MS = 12_000;

await cases.playCase(import.meta.dirname, async ({ site, jobs, record }) => {
  const accepted = await jobs.submit(site, '/plan/', LASTING_ID, {
    spec: 'lasting',
    steps: [LASTING],
  });
  const hasBegun = () => cases.liveRuns(site, LASTING_ID).length === 1;
  if (!accepted || !(await waitFor(hasBegun, 5000))) return cases.COULD_NOT_RUN;
  await sleep(2000);
  const { minion } = site.sides.find((it) => it.minion.live().length > 0);
  const fromMs = record.now();
  while (record.now() - fromMs < FLAP_MS) {
    if (cases.isTrouble) {
      await minion.down('crashed');
      await sleep(PERIOD_MS / 2);
      await minion.up({ id: `i-${Math.floor(Math.random() * 2 ** 32).toString(16)}` });
      await sleep(PERIOD_MS / 2);
    } else await sleep(PERIOD_MS);
  }
  const untilMs = record.now() + AFTER_MS;
  let state;
  while (record.now() < untilMs) {
    state = await site.stateOf(site.edges[0], '/plan/', LASTING_ID);
    await sleep(1000);
  }
  const failedRuns = site.runs().filter((it) => it.how === 'failed').length;
  const isAtWork = hasBegun();
  const isBroken = (state === 'failed' && failedRuns < cases.PLAN_QUEUE.attempts) || !isAtWork;
  record.write('verdict', { rule: 'LOST', isBroken, state, failedRuns, isAtWork });
  return isBroken ? cases.BROKEN : cases.HELD;
});
