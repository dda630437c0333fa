/**
 * A job's time split by cause, from its log lines.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as jobHistory from '../jobHistory.js';
import * as logCollector from '../logCollector.js';
import * as lossReport from '../lossReport.js';
import * as timeSplit from '../timeSplit.js';

const START_MS = Date.parse('2026-05-18T14:00:00.000Z');

interface Line {
  readonly atMs: number;
  readonly event: string;
  readonly node?: string;
  readonly text?: string;
}

const ROLES: Readonly<Record<string, string>> = {
  jobAccepted: 'entry',
  startGiven: 'agent',
  endListed: 'agent',
};

const format = ({ atMs, event, node = 'edge-1', text = '' }: Line): string =>
  `at=${new Date(START_MS + atMs).toISOString()} event=${event} ` +
  `role=${ROLES[event] ?? 'scheduler'} node=${node} level=info ${text}`;

interface Histories extends jobHistory.LogContext {
  readonly jobs: ReadonlyMap<string, jobHistory.JobHistory>;
}

const historiesOf = (lines: readonly Line[]): Histories => {
  const collector = logCollector.createLogCollector({
    needs: jobHistory.isHistoryEvent,
    fields: jobHistory.HISTORY_FIELDS,
  });
  lines.map(format).forEach((it) => collector.add(it));
  const collected = collector.collected();
  assert.ok(collected !== undefined);
  const jobs = [...collected.jobs()].map(({ jobId, events }) => {
    const job = jobHistory.buildHistory(jobId, events, collected.logContext);
    return [jobId, job] as const;
  });
  return { ...collected.logContext, jobs: new Map(jobs) };
};

const at = (atMs: number, event: string, text = '', node = 'edge-1'): Line => ({
  atMs,
  event,
  text,
  node,
});

const accepted = at(0, 'jobAccepted', 'job=j queue=q customer=c');
const learnt = at(5, 'jobLearnt', 'job=j');
const placed = (atMs: number, run: number, away = 0): Line =>
  at(atMs, 'placed', `job=j group=j.0.0.0 run=${run} workers=w1 waitedMs=0 away=${away}`);
const taken = (atMs: number, run: number): Line =>
  at(atMs, 'startGiven', `task=j.0.0.0 run=${run} outcome=accepted`);
const ended = (atMs: number, run: number, how: string): Line =>
  at(
    atMs,
    'runEnded',
    `job=j group=j.0.0.0 step=0 index=0 run=${run} how=${how} heldMs=1000 cores=8 checkpointing=false`,
  );
const jobEnded = (atMs: number, timeliness = 'late'): Line =>
  at(
    atMs,
    'jobEnded',
    `job=j queue=q customer=c state=complete durationMs=${atMs} objectiveMs=900 timeliness=${timeliness}`,
  );

interface Case {
  readonly name: string;
  readonly lines: readonly Line[];
  readonly split: Readonly<Partial<Record<timeSplit.Cause, number>>>;
}

const CASES: readonly Case[] = [
  {
    name: 'a run without a wait',
    lines: [accepted, learnt, placed(5, 1), taken(30, 1), ended(1030, 1, 'done'), jobEnded(1030)],
    split: { learnt: 5, store: 25, running: 1000 },
  },
  {
    name: 'a wait for capacity, then for preemption victims',
    lines: [
      accepted,
      learnt,
      at(5, 'waits', 'job=j group=j.0.0.0 reason="no room"'),
      at(105, 'waits', 'job=j group=j.0.0.0 reason="waits for 2 groups to leave"'),
      placed(505, 1),
      taken(505, 1),
      ended(1505, 1, 'done'),
      jobEnded(1505),
    ],
    split: { learnt: 5, room: 100, othersLeave: 400, running: 1000 },
  },
  {
    name: 'a run that was stopped and restarted remote from its data',
    lines: [
      accepted,
      learnt,
      placed(5, 1),
      taken(5, 1),
      at(605, 'runStopped', 'task=j.0.0.0 run=1 cause="reclaimedFor k.0.0"'),
      ended(1005, 1, 'stopped'),
      placed(1005, 2, 1),
      taken(1005, 2),
      ended(4005, 2, 'done'),
      jobEnded(4005),
    ],
    split: { learnt: 5, begunAgain: 1000, runningAway: 3000 },
  },
  {
    // Guards against a job that is late for its slow worker and counts as late for its own work.
    name: 'a run on a worker that takes two and a half times as long',
    lines: [
      accepted,
      learnt,
      placed(5, 1),
      taken(5, 1),
      at(
        5005,
        'runEnded',
        'job=j group=j.0.0.0 step=0 index=0 run=1 how=done heldMs=5000 cores=8 checkpointing=false speedFactor=2.5',
      ),
      jobEnded(5005),
    ],
    split: { learnt: 5, running: 2000, runningSlow: 3000 },
  },
  {
    name: 'a run that ended with its worker, whose task was given up',
    lines: [
      accepted,
      learnt,
      placed(5, 1),
      taken(5, 1),
      at(1005, 'workerCrashedUnder', 'task=j.0.0.0 run=1 evidence=alone isGivenUp=true'),
      jobEnded(1005),
    ],
    split: { learnt: 5, begunAgain: 1000 },
  },
  {
    name: 'an end that was listed long before it was recorded',
    lines: [
      accepted,
      learnt,
      placed(5, 1),
      taken(5, 1),
      at(1005, 'endListed', 'task=j.0.0.0 run=1 how=done'),
      ended(1805, 1, 'done'),
      jobEnded(1805),
    ],
    split: { learnt: 5, running: 1000, endNotNoted: 800 },
  },
  {
    name: 'a wait without a leader',
    lines: [
      at(-100, 'loaded'),
      accepted,
      learnt,
      at(5, 'waits', 'job=j group=j.0.0.0 reason="no room"'),
      at(105, 'leadershipLost', 'reason=lapsed'),
      at(1105, 'loaded', '', 'edge-2'),
      at(1205, 'placed', 'job=j group=j.0.0.0 run=1 workers=w1 waitedMs=0 away=0', 'edge-2'),
      taken(1205, 1),
    ],
    split: { learnt: 5, room: 200, leader: 1000 },
  },
  {
    name: 'stale lines of a leader that has not noticed its replacement',
    lines: [
      at(-100, 'loaded'),
      accepted,
      learnt,
      placed(5, 1),
      taken(5, 1),
      at(500, 'loaded', '', 'edge-2'),
      ended(700, 1, 'lost'),
      at(1005, 'runEnded', 'group=j.0.0.0 run=1 how=done', 'edge-2'),
      { ...jobEnded(1005), node: 'edge-2' },
    ],
    split: { learnt: 5, running: 1000 },
  },
  {
    name: 'a task that waits behind others of its step without a logged reason',
    lines: [accepted, learnt, placed(905, 1), taken(905, 1), ended(1905, 1, 'done')],
    split: { learnt: 5, room: 900, running: 1000 },
  },
  {
    name: 'a job that is never planned',
    lines: [accepted, at(4000, 'loaded')],
    split: { learnt: 4000 },
  },
];

test.describe('timeSplit', () => {
  for (const { name, lines, split } of CASES) {
    test.it(name, () => {
      const histories = historiesOf(lines);
      const job = histories.jobs.get('j');
      assert.ok(job !== undefined);
      const sums = timeSplit.sumByCause(timeSplit.splitTime(job, histories));
      assert.deepEqual(Object.fromEntries(sums), split);
    });
  }

  test.it('a step that waited for another is counted from the end of that one', () => {
    const second = [
      at(1005, 'placed', 'job=j group=j.0.1.0 run=1 workers=w1 waitedMs=0 away=0'),
      at(1005, 'startGiven', 'task=j.0.1.0 run=1 outcome=accepted'),
      at(3005, 'runEnded', 'group=j.0.1.0 run=1 how=done'),
    ];
    const first = [accepted, learnt, placed(5, 1), taken(5, 1), ended(1005, 1, 'done')];
    const histories = historiesOf([...first, ...second, jobEnded(3005)]);
    const job = histories.jobs.get('j');
    assert.ok(job !== undefined);
    const sums = timeSplit.sumByCause(timeSplit.splitTime(job, histories));
    assert.deepEqual(Object.fromEntries(sums), { learnt: 5, running: 3000 });
  });
});

test.describe('lossReport', () => {
  const lines = [
    accepted,
    learnt,
    placed(5, 1),
    taken(5, 1),
    ended(1005, 1, 'failed'),
    placed(1005, 2),
    taken(1005, 2),
    ended(2005, 2, 'done'),
    jobEnded(2005),
    at(0, 'jobAccepted', 'job=k queue=q2 customer=c'),
    at(2005, 'jobEnded', 'job=k queue=q2 customer=c state=complete timeliness=inTime'),
    at(0, 'jobAccepted', 'job=gone queue=q2 customer=c'),
    at(10, 'jobCancelled', 'job=gone'),
    at(0, 'jobAccepted', 'job=open queue=q2 customer=d'),
  ];

  const reportOf = (maxListed = 10, windowMs?: number, of = lines): lossReport.Report => {
    const histories = historiesOf(of);
    const builder = lossReport.createReportBuilder(histories, {
      isListed: () => true,
      maxListed,
      windowMs,
    });
    histories.jobs.forEach((job) => builder.add(job));
    return builder.report();
  };

  test.it(
    'lists each job that was not cancelled, and sums in total, by queue and by customer',
    () => {
      const { jobs, sums } = reportOf();
      assert.deepEqual(
        jobs.map(({ jobId, end, isLoss }) => [jobId, end, isLoss]),
        [
          ['j', 'late', true],
          ['k', 'inTime', false],
          ['open', 'open', true],
        ],
      );
      assert.deepEqual(
        sums.map(({ of, name, jobs: count, inTime, late, lost }) => [
          of,
          name,
          count,
          inTime,
          late,
          lost,
        ]),
        [
          ['all', 'all', 3, 1, 1, 1],
          ['queue', 'q', 1, 0, 1, 0],
          ['queue', 'q2', 2, 1, 0, 1],
          ['customer', 'c', 2, 1, 1, 0],
          ['customer', 'd', 1, 0, 0, 1],
        ],
      );
      assert.deepEqual(sums[1]?.byCause, { learnt: 5, running: 1000, begunAgain: 1000 });
    },
  );

  test.it('lists only the first jobs if there are too many, and sums all', () => {
    // An unlimited list would fill the memory of a small machine.
    const { jobs, unlisted, sums } = reportOf(1);
    assert.deepEqual([jobs.map((it) => it.jobId), unlisted, sums[0]?.jobs], [['j'], 2, 3]);
  });

  test.it(
    'counts work that was neither finished nor saved, by queue and the cause that ended it',
    () => {
      assert.deepEqual(reportOf().thrownAway, [
        { queue: 'q', cause: 'failed', runs: 1, coreSeconds: 8 },
      ]);
    },
  );

  const LATER = at(4500, 'jobAccepted', 'job=later queue=q2 customer=c');

  test.it('sums by window of arrival', () => {
    const windows = reportOf(10, 2000, [...lines, LATER]).sums.filter(({ of }) => of === 'window');
    assert.deepEqual(
      windows.map(({ jobs, inTime, late, lost }) => [jobs, inTime, late, lost]),
      [
        [3, 1, 1, 1],
        [1, 0, 0, 1],
      ],
    );
    const [first, second] = windows.map(({ name }) => Date.parse(name));
    assert.equal((second ?? 0) - (first ?? 0), 4000);
  });

  test.it('refuses windows that are too short for the log', () => {
    const many = Array.from({ length: 10_001 }, (_, index) =>
      at(2 * index, 'jobAccepted', `job=many${index} queue=q customer=c`),
    );
    assert.throws(() => reportOf(10, 1, many), /choose a longer one/);
  });
});
