/**
 * Transition table of the job state machine: the effect of every event in every state, for a gang
 * of two.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import type * as job from '../../../state/common/job.js';
import * as jobStateMachine from '../jobStateMachine.js';

const CONTEXT: jobStateMachine.JobContext = {
  nowMs: 5,
  configVersion: 1,
  epoch: 1,
  unrunnableFailures: 3,
  badWorkerIds: new Set<string>(),
  reclaimGraceMs: 700,
};

const PLACEMENT: readonly job.MemberPlacement[] = [0, 1].map((member) => ({
  member,
  workerId: `w${member}`,
  accelerators: [0],
}));

const queued = jobStateMachine.accept(
  {
    jobId: 'j',
    customerId: 'c',
    kind: 'k',
    cell: 'z',
    claim: 'spare',
    members: 2,
    acceleratorsPerMember: 1,
    adjacency: 'zone',
    declaredRunMs: 1,
    isCheckpointable: true,
    payload: '',
  },
  CONTEXT,
);

const EVENTS = {
  planned: { type: 'planned', placement: PLACEMENT, ruleId: undefined, why: 'w' },
  reserved: { type: 'reserved', member: 0 },
  reserveRefused: { type: 'reserveRefused', member: 0, reason: 'r' },
  committed: { type: 'committed' },
  commitFailed: { type: 'commitFailed', reason: 'r' },
  started: { type: 'started', member: 0 },
  startRefused: { type: 'startRefused', member: 0, reason: 'r' },
  memberDone: { type: 'memberDone', member: 0 },
  memberFailed: { type: 'memberFailed', member: 0, reason: 'r' },
  memberStopped: { type: 'memberStopped', member: 0, checkpointMs: 9 },
  memberLost: { type: 'memberLost', member: 0, reason: 'r' },
  cancel: { type: 'cancel' },
  stop: { type: 'stop', cause: 'reclaimed', why: 'w' },
} as const satisfies Record<string, jobStateMachine.JobEvent>;

type EventName = keyof typeof EVENTS;
type Phases = readonly jobStateMachine.MemberPhase[];

const placed = (state: job.JobState, members: Phases): jobStateMachine.JobRuntime => ({
  record: { ...queued.record, state, attempt: 1, placement: [...PLACEMENT] },
  members,
});

const ended = (state: job.JobState): jobStateMachine.JobRuntime => ({
  record: { ...queued.record, state },
  members: [],
});

const NONE = 'same';

/** Next state, its members' phases, and the effects; `same` where the event has no effect. */
const TABLE: readonly [string, jobStateMachine.JobRuntime, Partial<Record<EventName, string>>][] = [
  [
    'queued',
    queued,
    {
      planned: 'reserving reserving,reserving | reserve 0,reserve 1',
      cancel: 'cancelled | persist',
    },
  ],
  [
    'reserving, the other member reserved',
    placed('reserving', ['reserving', 'reserved']),
    {
      reserved: 'starting reserved,reserved | commit',
      reserveRefused: 'queued | release 0,release 1',
      memberDone: NONE,
      cancel: 'cancelled | release 0,release 1,persist',
      stop: 'queued | release 0,release 1',
    },
  ],
  [
    'starting, before the commit',
    placed('starting', ['reserved', 'reserved']),
    {
      committed: 'starting starting,starting | start 0,start 1',
      commitFailed: 'queued | release 0,release 1',
      startRefused: 'stopping gone,reserved | stop 1 700,persist',
      memberDone: 'starting done,reserved |',
      memberFailed: 'stopping gone,reserved | stop 1 700,persist',
      memberStopped: 'stopping gone,reserved | stop 1 700,persist',
      memberLost: 'stopping gone,reserved | stop 1 700,persist',
      cancel: 'stopping reserved,reserved | stop 0 0,stop 1 0,persist',
      stop: 'stopping reserved,reserved | stop 0 700,stop 1 700,persist',
    },
  ],
  [
    'starting, the other member running',
    placed('starting', ['starting', 'running']),
    {
      committed: 'starting starting,running |',
      commitFailed: NONE,
      started: 'running running,running | persist',
      startRefused: 'stopping gone,running | stop 1 700,persist',
      memberDone: 'starting done,running |',
      memberFailed: 'stopping gone,running | stop 1 700,persist',
      memberStopped: 'stopping gone,running | stop 1 700,persist',
      memberLost: 'stopping gone,running | stop 1 700,persist',
      cancel: 'stopping starting,running | stop 0 0,stop 1 0,persist',
      stop: 'stopping starting,running | stop 0 700,stop 1 700,persist',
    },
  ],
  [
    'running',
    placed('running', ['running', 'running']),
    {
      memberDone: 'running done,running |',
      memberFailed: 'stopping gone,running | stop 1 700,persist',
      memberStopped: 'stopping gone,running | stop 1 700,persist',
      memberLost: 'stopping gone,running | stop 1 700,persist',
      cancel: 'stopping running,running | stop 0 0,stop 1 0,persist',
      stop: 'stopping running,running | stop 0 700,stop 1 700,persist',
    },
  ],
  [
    'running, the other member done',
    placed('running', ['running', 'done']),
    {
      memberDone: 'done | persist',
      memberFailed: 'queued | persist',
      memberStopped: 'queued | persist',
      memberLost: 'queued | persist',
      cancel: 'stopping running,done | stop 0 0,persist',
      stop: 'stopping running,done | stop 0 700,persist',
    },
  ],
  [
    'stopping, the other member gone',
    placed('stopping', ['running', 'gone']),
    {
      memberDone: 'queued | persist',
      memberFailed: 'queued | persist',
      memberStopped: 'queued | persist',
      memberLost: 'queued | persist',
      cancel: 'stopping running,gone | persist',
    },
  ],
  ['done', ended('done'), {}],
  ['failed', ended('failed'), {}],
  ['cancelled', ended('cancelled'), {}],
  ['unrunnable', ended('unrunnable'), {}],
];

const effectText = (effect: jobStateMachine.JobEffect): string => {
  if (effect.type === 'persist' || effect.type === 'commit') return effect.type;
  const grace = effect.type === 'stop' ? ` ${effect.graceMs}` : '';
  return `${effect.type} ${effect.member}${grace}`;
};

const textOf = (before: jobStateMachine.JobRuntime, step: jobStateMachine.JobStep): string => {
  if (step.next === before && step.effects.length === 0) return NONE;
  const members = step.next.members.length === 0 ? '' : `${step.next.members.join()} `;
  const effects = step.effects.map(effectText).join();
  return `${step.next.record.state} ${members}| ${effects}`.trimEnd();
};

for (const [name, before, changes] of TABLE) {
  nodeTest.describe(name, () => {
    for (const eventName of Object.keys(EVENTS) as EventName[]) {
      const wanted = changes[eventName] ?? NONE;
      nodeTest.test(`${eventName}: ${wanted}`, () => {
        const step = jobStateMachine.step(before, EVENTS[eventName], CONTEXT);
        assert.equal(textOf(before, step), wanted);
      });
    }
  });
}

nodeTest.test('cancel overrides a stop for another cause that is in progress', () => {
  // A customer cancels a borrowing job that is checkpointing because it is being reclaimed. It must
  // end and not be requeued when the last member has stopped.
  const running = placed('running', ['running', 'running']);
  const events = [
    EVENTS.stop,
    EVENTS.cancel,
    EVENTS.started,
    EVENTS.memberStopped,
    { ...EVENTS.memberStopped, member: 1 },
  ];
  const last = events.reduce(
    (runtime, event) => jobStateMachine.step(runtime, event, CONTEXT).next,
    running,
  );
  assert.equal(last.record.state, 'cancelled');
});

nodeTest.test('failures on quarantined workers do not make a job unrunnable', () => {
  // A job failed on a worker with a broken device and on two others like it, all quarantined since.
  // It must keep waiting for a healthy worker; only failures on healthy workers may end it.
  const failedOn = (workerIds: readonly string[], bad: readonly string[]): job.JobState => {
    const failures = workerIds.map((workerId) => ({ atMs: 1, workerId, reason: 'r' }));
    const runtime: jobStateMachine.JobRuntime = {
      record: {
        ...queued.record,
        state: 'stopping',
        stopCause: 'memberFailed',
        attempt: 3,
        placement: [...PLACEMENT],
        failures,
      },
      members: ['gone', 'running'],
    };
    const context = { ...CONTEXT, badWorkerIds: new Set(bad) };
    const event = { type: 'memberStopped', member: 1, checkpointMs: 0 } as const;
    return jobStateMachine.step(runtime, event, context).next.record.state;
  };
  assert.equal(failedOn(['a', 'b', 'c'], ['a', 'b', 'c']), 'queued');
  assert.equal(failedOn(['a', 'b', 'c'], ['a']), 'queued');
  assert.equal(failedOn(['a', 'b', 'c'], []), 'unrunnable');
  assert.equal(failedOn(['a', 'b', 'c', 'd'], ['a']), 'unrunnable');
});
