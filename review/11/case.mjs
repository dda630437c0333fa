/**
 * A machine is removed, and a later one gets its address. The leader goes on calling the address under the removed
 * machine's name and stores that name with the tasks; the next leader does not find it and starts the tasks again.
 */
import { setTimeout as sleep } from 'node:timers/promises';

import * as cases from '../stand-ins-3/case.mjs';
import { waitFor } from '../stand-ins-3/record.mjs';

const JOB_IDS = ['00000000000000aa', '00000000000000bb'];
const PLAN = { count: 1, cpu: 26_000, mem_mb: 110_000, gpu: 8, est_ms: 60_000, requires: 'b' };
const WORK_MS = 60_000;
/** `addr_reuse_s` 2. */
const REUSE_MS = 2500;
/** A lease lasts 10 s: the next leader waits for the former one's leases. */
const WATCH_MS = 18_000;
const REMOVED = 4;

/** @returns pairs of runs of one task that were at work at the same time on minions that were up */
const findTwice = (runs) =>
  runs.flatMap((it) =>
    runs.filter((other) => {
      const isEarlier = other.task === it.task && other.run < it.run;
      return isEarlier && (other.endedAtMs ?? Infinity) > it.startedAtMs;
    }),
  );

await cases.playCase(
  import.meta.dirname,
  async ({ site, jobs, record }) => {
    const old = site.sides[REMOVED];
    old.processes.agent.remove();
    await old.minion.down('gone');
    await sleep(REUSE_MS);
    const host = cases.isTrouble ? old.host : undefined;
    const fresh = await site.startMachine('side', REMOVED, { node: 'side-nordur-a-77', host });
    site.sides.push(fresh);
    record.write(cases.isTrouble ? 'trouble' : 'noTrouble', { address: fresh.host, was: old.host });
    // Until the removed machine's record and its leases have ended.
    await sleep(11_000);
    for (const id of JOB_IDS) {
      await jobs.submit(site, '/plan/', id, { spec: id, steps: [PLAN] }, { workMs: WORK_MS });
      await waitFor(() => cases.liveRuns(site, id).length === 1, 4000);
      if (fresh.minion.live().length > 0) break;
    }
    if (fresh.minion.live().length === 0) return cases.COULD_NOT_RUN;
    const [run] = fresh.minion.live();
    // The other minion of the kind is to be empty: there the task can start again.
    for (const id of JOB_IDS.filter((it) => !run.task.startsWith(it) && jobs.jobs.has(it))) {
      await site.call(site.edges[0], 'DELETE', `/plan/${id}`);
    }
    await sleep(2000);
    const before = site.leader().epoch;
    site.leaderEdge().processes.scheduler.term();
    if (!(await waitFor(() => (site.leader()?.epoch ?? 0) > before, 6000)))
      return cases.COULD_NOT_RUN;
    await sleep(WATCH_MS);
    const twice = findTwice(site.runs());
    const runs = site
      .runs()
      .map(
        (it) =>
          `${it.task}#${it.run} on ${it.minion} ${it.startedAtMs}..${it.endedAtMs ?? ''} ${it.how ?? 'at work'}`,
      );
    record.write('runs', { runs });
    record.write('verdict', { rule: 'TWICE', isBroken: twice.length > 0, twice: twice.length });
    return twice.length > 0 ? cases.BROKEN : cases.HELD;
  },
  { labelsOf: (index) => [index === REMOVED || index === 5 ? 'b' : 'a', `r${index % 3}-1`] },
);
