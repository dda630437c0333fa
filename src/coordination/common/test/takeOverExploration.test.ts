/**
 * Exhaustive exploration of leadership in a small world: every order of events within the bounds of
 * a scenario, with lost, late and repeated messages and a pause of anybody anywhere. `takeOverModel`
 * says what the world is, `takeOverSteps` what can happen, `takeOverChecks` what must not.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as checks from './takeOverChecks.js';
import type * as model from './takeOverModel.js';
import type * as scenarios from './takeOverScenario.js';
import * as steps from './takeOverSteps.js';

interface Node {
  readonly world: model.World;
  readonly name: string;
  readonly parent: Node | undefined;
}

interface Found {
  readonly states: number;
  readonly violation: string;
  readonly trace: string;
}

/** Stops an exploration whose bounds were set too wide, as a failure. */
const MAX_STATES = 60_000;

const traceOf = (node: Node): string =>
  node.parent === undefined ? '' : `${traceOf(node.parent)} > ${node.name}`;

const explore = (scenario: scenarios.Scenario): Found => {
  const world = steps.beginningOf(scenario);
  const seen = new Set([checks.keyOf(world)]);
  let frontier: Node[] = [{ world, name: '', parent: undefined }];
  while (frontier.length > 0) {
    const next: Node[] = [];
    for (const parent of frontier) {
      for (const { name, after } of steps.movesOf(parent.world, scenario)) {
        const key = checks.keyOf(after);
        if (seen.has(key)) continue;
        seen.add(key);
        const node = { world: after, name, parent };
        const violation = checks.violationOf(after);
        if (violation !== '') return { states: seen.size, violation, trace: traceOf(node) };
        if (!checks.isSettled(after, scenario)) next.push(node);
      }
    }
    assert.ok(seen.size <= MAX_STATES, `more than ${MAX_STATES} states`);
    frontier = next;
  }
  return { states: seen.size, violation: '', trace: '' };
};

const GUARDS: scenarios.Guards = {
  isFencing: true,
  isMajorityNeeded: true,
  isFormerLeaseAwaited: true,
};

const ONE_JOB: scenarios.Scenario = {
  members: 1,
  maxTicks: 5,
  maxAttempts: 2,
  maxRestarts: 0,
  isCommitted: true,
  hasTakeOver: true,
  hasCancel: false,
  hasLostReports: false,
  guards: GUARDS,
};

const GANG: scenarios.Scenario = {
  ...ONE_JOB,
  members: 2,
  maxTicks: 1,
  maxAttempts: 1,
  isCommitted: false,
  hasTakeOver: false,
};

const WHOLE: readonly [string, scenarios.Scenario][] = [
  ['take-over and lease lapse, answers to reports lost', { ...ONE_JOB, hasLostReports: true }],
  ['take-over and cancel', { ...ONE_JOB, maxTicks: 3, hasCancel: true }],
  ['take-over and a restart of any agent', { ...ONE_JOB, maxTicks: 2, maxRestarts: 1 }],
  ['start, lapse and cancel of a gang', { ...GANG, hasCancel: true }],
  ['take-over of a gang that is being started', { ...GANG, isCommitted: true, hasTakeOver: true }],
  ['start, cancel and start again', { ...GANG, members: 1, maxAttempts: 2, hasCancel: true }],
];

nodeTest.describe('exhaustive exploration finds no violation', () => {
  for (const [name, scenario] of WHOLE) {
    nodeTest.test(name, (context) => {
      const found = explore(scenario);
      assert.equal(found.violation, '', found.trace);
      assert.ok(found.states > 1000, `only ${found.states} states`);
      context.diagnostic(`${found.states} states`);
    });
  }
});

const FROM_QUEUE: scenarios.Scenario = { ...ONE_JOB, isCommitted: false, maxTicks: 1 };

const PLANTED: readonly [string, scenarios.Scenario, string][] = [
  [
    'agents that take any epoch',
    { ...FROM_QUEUE, guards: { ...GUARDS, isFencing: false } },
    'an old leader started a task',
  ],
  [
    'a leader that grants without a majority',
    { ...ONE_JOB, guards: { ...GUARDS, isMajorityNeeded: false } },
    'two attempts run at once',
  ],
  [
    'a leader that does not await the leases of the former one',
    { ...ONE_JOB, guards: { ...GUARDS, isFormerLeaseAwaited: false } },
    'two attempts run at once',
  ],
];

nodeTest.describe('exploration catches a planted fault', () => {
  for (const [name, scenario, violation] of PLANTED) {
    nodeTest.test(name, (context) => {
      const found = explore(scenario);
      assert.equal(found.violation, violation);
      context.diagnostic(`after ${found.states} states:${found.trace}`);
    });
  }
});
