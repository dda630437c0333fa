/**
 * Exhaustive exploration of leadership in a small model: every order of events within the bounds of
 * a scenario, with lost, delayed and duplicate messages and a pause of any process at any time.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';

import * as invariants from './leadershipInvariants.js';
import type * as model from './leadershipModel.js';
import type * as scenarios from './leadershipScenario.js';
import * as transitions from './leadershipTransitions.js';

interface Node {
  readonly state: model.ModelState;
  readonly name: string;
  readonly parent: Node | undefined;
}

interface Found {
  readonly states: number;
  readonly violation: string;
  readonly trace: string;
}

/** Fails an exploration whose bounds are too wide. */
const MAX_STATES = 60_000;

const traceOf = (node: Node): string =>
  node.parent === undefined ? '' : `${traceOf(node.parent)} > ${node.name}`;

const explore = (scenario: scenarios.Scenario): Found => {
  const state = transitions.initialStateOf(scenario);
  const seen = new Set([invariants.keyOf(state)]);
  let frontier: Node[] = [{ state, name: '', parent: undefined }];
  while (frontier.length > 0) {
    const next: Node[] = [];
    for (const parent of frontier) {
      for (const { name, after } of transitions.transitionsOf(parent.state, scenario)) {
        const key = invariants.keyOf(after);
        if (seen.has(key)) continue;
        seen.add(key);
        const node = { state: after, name, parent };
        const violation = invariants.violationOf(after);
        if (violation !== '') return { states: seen.size, violation, trace: traceOf(node) };
        if (!invariants.isSettled(after, scenario)) next.push(node);
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
  isPreviousLeaseAwaited: true,
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

const SCENARIOS: readonly [string, scenarios.Scenario][] = [
  ['takeover and lease expiry, answers to reports lost', { ...ONE_JOB, hasLostReports: true }],
  ['takeover and cancel', { ...ONE_JOB, maxTicks: 3, hasCancel: true }],
  ['takeover and a restart of any agent', { ...ONE_JOB, maxTicks: 2, maxRestarts: 1 }],
  ['start, expiry and cancel of a gang', { ...GANG, hasCancel: true }],
  ['takeover of a gang that is being started', { ...GANG, isCommitted: true, hasTakeOver: true }],
  ['start, cancel and start again', { ...GANG, members: 1, maxAttempts: 2, hasCancel: true }],
];

nodeTest.describe('exhaustive exploration finds no violation', () => {
  for (const [name, scenario] of SCENARIOS) {
    nodeTest.test(name, (context) => {
      const found = explore(scenario);
      assert.equal(found.violation, '', found.trace);
      assert.ok(found.states > 1000, `only ${found.states} states`);
      context.diagnostic(`${found.states} states`);
    });
  }
});

const FROM_QUEUE: scenarios.Scenario = { ...ONE_JOB, isCommitted: false, maxTicks: 1 };

const WITHOUT_GUARD: readonly [string, scenarios.Scenario, string][] = [
  [
    'agents that accept any epoch',
    { ...FROM_QUEUE, guards: { ...GUARDS, isFencing: false } },
    'a previous leader started a task',
  ],
  [
    'a leader that grants without a majority',
    { ...ONE_JOB, guards: { ...GUARDS, isMajorityNeeded: false } },
    'two attempts overlap',
  ],
  [
    "a leader that does not wait for the expiry of the previous leader's leases",
    { ...ONE_JOB, guards: { ...GUARDS, isPreviousLeaseAwaited: false } },
    'two attempts overlap',
  ],
];

nodeTest.describe('exploration finds the violation when a guard is disabled', () => {
  for (const [name, scenario, violation] of WITHOUT_GUARD) {
    nodeTest.test(name, (context) => {
      const found = explore(scenario);
      assert.equal(found.violation, violation);
      context.diagnostic(`after ${found.states} states:${found.trace}`);
    });
  }
});
