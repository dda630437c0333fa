/**
 * Effects of a configuration change on running guaranteed jobs are reported before it is written.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configuration from '../configuration.js';
import * as configurationDifference from '../configurationDifference.js';
import type * as job from '../job.js';
import * as configurationSample from './configurationSample.js';

const { SAMPLE } = configurationSample;

const running = (jobId: string, state: job.JobState = 'running'): job.JobRecord => ({
  spec: {
    jobId,
    customerId: 'red',
    kind: 'plan',
    cell: 'north',
    claim: 'guaranteed',
    shapeId: 'red-plan',
    members: 2,
    acceleratorsPerMember: 4,
    adjacency: 'worker',
    declaredRunMs: 1000,
    isCheckpointable: false,
    payload: '',
  },
  state,
  submittedAtMs: 0,
  attempt: 1,
  epoch: 1,
  placement: [{ member: 0, workerId: 'w', accelerators: [0, 1, 2, 3] }],
  checkpointMs: 0,
  failures: [],
  decisions: [],
});

interface EffectCase {
  readonly name: string;
  readonly after: Partial<configuration.ConfigurationDocument>;
  readonly jobs: readonly job.JobRecord[];
  readonly strands: RegExp | undefined;
}

const shapeWith = (change: Partial<configuration.Shape>): configuration.Shape[] =>
  SAMPLE.shapes.map((it) => ({ ...it, ...change }));

const CASES: readonly EffectCase[] = [
  { name: 'nothing changes', after: {}, jobs: [running('a')], strands: undefined },
  { name: 'no job runs', after: { shapes: [] }, jobs: [], strands: undefined },
  {
    name: 'the job has ended',
    after: { shapes: [] },
    jobs: [running('a', 'done')],
    strands: undefined,
  },
  {
    name: 'the shape is gone',
    after: { shapes: [] },
    jobs: [running('a')],
    strands: /job a of red \(running\) in north loses its guarantee: shape red-plan is gone/,
  },
  {
    name: 'the customer is gone',
    after: { customers: [], shapes: [] },
    jobs: [running('a')],
    strands: /customer red is gone/,
  },
  {
    name: 'the cell is gone',
    after: { cells: [] },
    jobs: [running('a')],
    strands: /cell north is gone/,
  },
  {
    name: 'the shape shrinks',
    after: { shapes: shapeWith({ accelerators: 4 }) },
    jobs: [running('a')],
    strands: /shrinks to 4 accelerators/,
  },
  {
    name: 'fewer instances than jobs that hold one',
    after: {},
    jobs: [running('a'), running('b')],
    strands: /keeps 1 instances, and 2 guaranteed jobs hold one: a, b/,
  },
];

for (const it of CASES) {
  test.test(`effects: ${it.name}`, () => {
    const after = { ...SAMPLE, ...it.after };
    const effects = configurationDifference.findEffects(SAMPLE, after, it.jobs, []);
    const text = effects
      .filter((effect) => effect.level === 'strands')
      .map((effect) => effect.text)
      .join('; ');
    if (it.strands === undefined) assert.equal(text, '');
    else assert.match(text, it.strands);
  });
}

test.test('a cell that does not answer is reported as unknown', () => {
  const [effect] = configurationDifference.findEffects(SAMPLE, SAMPLE, [], ['south']);
  assert.equal(effect?.level, 'unknown');
});
