/**
 * Violates each invariant of a soak once on purpose, to show that its check can fail.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as evidence from '../evidence.js';
import * as invariants from '../invariants.js';

const JOB: evidence.SubmittedJob = {
  jobId: 'aa',
  payload: 'work',
  steps: [
    { count: 1, accelerators: 8, isGang: false, after: [] },
    { count: 1, accelerators: 1, isGang: false, after: [0] },
  ],
};

const call = (changes: Partial<evidence.CallRecord>): evidence.CallRecord => ({
  entry: 'edge-0',
  method: 'GET',
  jobId: 'aa',
  apiKey: 'key',
  sentAtMs: 0,
  endedAtMs: 10,
  end: evidence.CallEnd.answered,
  status: 200,
  state: undefined,
  ...changes,
});

const run = (changes: Partial<evidence.WorkerRun>): evidence.WorkerRun => ({
  task: 'aa.0.0.0',
  run: 1,
  payload: 'work',
  startedAtMs: 100,
  endedAtMs: 200,
  how: 'done',
  isAcknowledged: true,
  hasLapsedSince: false,
  isLate: false,
  workerIndex: 0,
  zone: 'z',
  ...changes,
});

const SUBMIT = call({ method: 'POST' });
const FIRST = run({});
const SECOND = run({ task: 'aa.0.1.0', startedAtMs: 300, endedAtMs: 400 });
const COMPLETE = call({ sentAtMs: 500, endedAtMs: 510, state: 'complete' });

const WAITING = { ...JOB, jobId: 'bb' };
const ACCEPTED = [
  SUBMIT,
  COMPLETE,
  call({ method: 'POST', jobId: 'bb' }),
  // Its state is read once it has ended, which is long after the count.
  call({ jobId: 'bb', sentAtMs: 9000, endedAtMs: 9010, state: 'cancelled' }),
];

const VALID: evidence.Evidence = {
  jobs: [JOB],
  calls: [SUBMIT, COMPLETE],
  runs: [FIRST, SECOND],
  revocations: [],
  disturbances: [],
  evacuations: [{ zone: 'z', fromMs: 200, untilMs: 9000 }],
  evacuateMs: 5000,
  failures: [],
  acceleratorsPerWorker: 8,
  visibleMs: 5000,
  revokeMs: 5000,
  attempts: 3,
};

const CUT = call({ sentAtMs: 600, endedAtMs: 900, end: evidence.CallEnd.cut, status: 0 });

const CASES: readonly [
  name: string,
  changes: Partial<evidence.Evidence>,
  expected: RegExp | undefined,
][] = [
  ['a valid soak', {}, undefined],
  [
    'concurrent runs of a task',
    { runs: [run({ endedAtMs: 250, how: 'stopped' }), run({ run: 2, startedAtMs: 249 }), SECOND] },
    /run 2 began while run 1 worked/,
  ],
  [
    'a run after an acknowledged end',
    { runs: [FIRST, run({ run: 2, startedAtMs: 210, endedAtMs: 220 }), SECOND] },
    /run 2 began after the task was done/,
  ],
  [
    'a second run after an end that was never acknowledged',
    {
      runs: [
        run({ isAcknowledged: false }),
        run({ run: 2, startedAtMs: 210, endedAtMs: 220 }),
        SECOND,
      ],
    },
    undefined,
  ],
  [
    'a second run after an end that was acknowledged only after its lease had expired',
    {
      runs: [
        run({ hasLapsedSince: true }),
        run({ run: 2, startedAtMs: 210, endedAtMs: 220 }),
        SECOND,
      ],
    },
    undefined,
  ],
  [
    'a running job whose submission was refused',
    { calls: [call({ method: 'POST', status: 503 })] },
    /every attempt to hand it in was refused/,
  ],
  [
    'a running job whose submission had an unknown outcome',
    { calls: [call({ method: 'POST', status: 503 }), call({ method: 'POST', status: 504 })] },
    undefined,
  ],
  [
    'an accepted job that is later unknown',
    { calls: [SUBMIT, call({ sentAtMs: 50, status: 410 }), COMPLETE] },
    /no such job/,
  ],
  [
    'a job reported as complete too soon',
    { calls: [SUBMIT, call({ sentAtMs: 300, endedAtMs: 310, state: 'complete' })] },
    /shown as complete before aa.0.1.0 was done/,
  ],
  [
    'a job reported as failed without enough failed runs',
    {
      calls: [SUBMIT, call({ sentAtMs: 300, endedAtMs: 310, state: 'failed' })],
      runs: [run({ how: 'failed' }), run({ run: 2, startedAtMs: 201, endedAtMs: 202 })],
    },
    /shown as failed without 3 failed runs/,
  ],
  [
    'a job that has not started and is not counted as pending',
    {
      jobs: [JOB, WAITING],
      calls: [...ACCEPTED, call({ jobId: '', sentAtMs: 5100, endedAtMs: 5110, pending: 0 })],
    },
    /0 jobs pending while bb had not started/,
  ],
  [
    'a job that was accepted just before the pending ones were counted',
    {
      jobs: [JOB, WAITING],
      calls: [...ACCEPTED, call({ jobId: '', sentAtMs: 4900, endedAtMs: 4910, pending: 0 })],
    },
    undefined,
  ],
  [
    'an accepted job that never ends',
    { calls: [SUBMIT, call({ sentAtMs: 500, endedAtMs: 510, state: 'running' })] },
    /running long after the faults/,
  ],
  [
    'a run that never ends',
    { runs: [FIRST, run({ task: 'aa.0.1.0', endedAtMs: undefined, how: undefined })] },
    /still works though its job has ended/,
  ],
  [
    'a step that starts before the step it depends on',
    { runs: [FIRST, run({ task: 'aa.0.1.0', startedAtMs: 150, workerIndex: 1 })] },
    /step 1 began before aa.0.0.0/,
  ],
  [
    'a start in a zone that was evacuated long before',
    {
      calls: [SUBMIT, call({ sentAtMs: 6000, endedAtMs: 6010, state: 'complete' })],
      runs: [FIRST, run({ task: 'aa.0.1.0', startedAtMs: 5300, endedAtMs: 5400 })],
    },
    /aa.0.1.0: run 1 began in z, which was evacuated/,
  ],
  [
    'a worker over its capacity',
    { runs: [FIRST, run({ task: 'aa.0.1.0', startedAtMs: 150 })] },
    /brings worker 0 to 9 accelerators/,
  ],
  [
    'a run with another payload than submitted',
    { runs: [FIRST, run({ ...SECOND, payload: 'other' })] },
    /something that nobody handed in/,
  ],
  [
    'a revoked key that is served after the time bound',
    {
      revocations: [{ apiKey: 'key', atMs: 1000 }],
      calls: [SUBMIT, COMPLETE, call({ sentAtMs: 6001, state: 'complete', endedAtMs: 6002 })],
    },
    /served a key that was taken away/,
  ],
  [
    'a revoked key that is served within the time bound',
    {
      revocations: [{ apiKey: 'key', atMs: 1000 }],
      calls: [SUBMIT, COMPLETE, call({ sentAtMs: 5999, state: 'complete', endedAtMs: 6002 })],
    },
    undefined,
  ],
  [
    'a valid key that is refused',
    { calls: [SUBMIT, COMPLETE, call({ status: 401 })] },
    /valid key/,
  ],
  ['a call cut during a planned stop', { calls: [SUBMIT, COMPLETE, CUT] }, /cut off GET aa/],
  [
    'a call cut by a fault',
    {
      calls: [SUBMIT, COMPLETE, CUT],
      disturbances: [{ entry: 'edge-0', fromMs: 500, untilMs: 700 }],
    },
    undefined,
  ],
  ['a process that exits unexpectedly', { failures: ['edge-0 exited by itself: 1'] }, /by itself/],
];

test.describe('the invariants of a soak', () => {
  for (const [name, changes, expected] of CASES) {
    test.it(name, () => {
      const violations = invariants.findViolations({ ...VALID, ...changes });
      if (expected === undefined) assert.deepEqual(violations, []);
      else assert.match(violations.join('\n'), expected);
    });
  }
});
