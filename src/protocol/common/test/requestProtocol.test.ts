/**
 * Checks at-most-once by exhaustive exploration of the protocol's decisions at small scope.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../../base/common/errors.js';
import * as attemptSteps from '../attemptSteps.js';
import * as requestRecord from '../requestRecord.js';
import * as requestExploration from './requestExploration.js';

const REAL_RULE_SCOPES = [
  { isIdempotent: false, duplicates: 0, agentCrashes: 1 },
  { isIdempotent: false, duplicates: 1, agentCrashes: 0 },
  { isIdempotent: true, duplicates: 0, agentCrashes: 0, maxPhase: 1 },
];

for (const scope of REAL_RULE_SCOPES) {
  test.test(`no interleaving violates an invariant: ${JSON.stringify(scope)}`, (context) => {
    const found = requestExploration.explore(requestExploration.REAL_RULES, scope);
    context.diagnostic(`states explored: ${found.states}`);
    assert.deepEqual([...found.broken], []);
    assert.deepEqual([...found.results].sort(), ['answer', 'refused', 'unknown']);
  });
}

const elsewhere = errors.fail('noUpstream', 'injected');

interface InjectedFault {
  readonly name: string;
  /** How the fault leads to the violation. */
  readonly description: string;
  readonly rules: Partial<requestExploration.Rules>;
  readonly scope: requestExploration.Scope;
  readonly violates: string;
}

const INJECTED_FAULTS: readonly InjectedFault[] = [
  {
    name: 'retry without asking',
    description:
      'The connection times out after the run and the entry runs the request on another agent',
    rules: {
      afterRun: (it) => (it.type === 'answer' ? it : { type: 'elsewhere', error: elsewhere }),
    },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
  {
    name: 'a restarted agent replies "never ran"',
    description:
      'The agent runs a request and crashes; after the restart it has no record of the run',
    rules: {
      decideArrival: (record, isTombstoned, header, agent) =>
        requestRecord.decideArrival(
          record,
          isTombstoned,
          { ...header, bootId: agent.bootId },
          agent,
        ),
    },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 1 },
    violates: 'a request ran twice',
  },
  {
    name: 'a late message is not rejected',
    description:
      'The run message is delayed until the tombstone of the settle message has been dropped',
    rules: {
      decideArrival: (record, isTombstoned, header, agent) =>
        header.mode === 'run'
          ? requestRecord.decideArrival(
              record,
              isTombstoned,
              { ...header, startBeforeMs: Infinity },
              agent,
            )
          : requestRecord.decideArrival(record, isTombstoned, header, agent),
    },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
  {
    name: 'a duplicate is rejected after outcomes were dropped',
    description:
      'The reply to the run is lost; a duplicate after the outcome was dropped is rejected',
    rules: {
      decideArrival: (record, isTombstoned, header, agent) =>
        header.mode === 'run' && record === undefined && agent.nowMs > header.startBeforeMs
          ? { arrival: { type: 'tooLate' }, addsTombstone: false }
          : requestRecord.decideArrival(record, isTombstoned, header, agent),
    },
    scope: { isIdempotent: false, duplicates: 1, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
  {
    name: 'a settle message is answered after outcomes were dropped',
    description:
      'The settle message comes after the outcome was dropped; no record is taken for proof',
    rules: {
      decideArrival: (record, isTombstoned, header, agent) =>
        header.mode === 'settle'
          ? requestRecord.decideArrival(
              record,
              isTombstoned,
              { ...header, startBeforeMs: Infinity },
              agent,
            )
          : requestRecord.decideArrival(record, isTombstoned, header, agent),
    },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
  {
    name: 'a rejected attempt leaves no tombstone',
    description:
      'A duplicate of a rejected message is admitted after the retry ran on another agent',
    rules: { tombstonesRejections: false },
    scope: { isIdempotent: false, duplicates: 1, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
  {
    name: 'a reply is not matched with its attempt',
    description: 'A late reply to the first attempt is accepted as the reply to the second',
    rules: { checksAttemptId: false },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 0 },
    violates: "another attempt's reply was accepted",
  },
  {
    name: 'the last rejection is returned to the caller',
    description: 'An idempotent request runs, its answer is lost, and the next agent rejects it',
    rules: { errorToReport: (_, latest) => latest },
    scope: { isIdempotent: true, duplicates: 0, agentCrashes: 0 },
    violates: 'a rejection hides a run',
  },
  {
    name: 'an unsent settle message counts as proof',
    description:
      'The agent crashes during the run; the connection for the settle message is refused',
    rules: {
      afterSettle: (it, isIdempotent) =>
        it.type === 'noWord'
          ? { type: 'elsewhere', error: elsewhere }
          : attemptSteps.afterSettle(it, isIdempotent),
    },
    scope: { isIdempotent: false, duplicates: 0, agentCrashes: 0 },
    violates: 'a request ran twice',
  },
];

for (const fault of INJECTED_FAULTS) {
  test.test(`the exploration finds an injected fault: ${fault.name}`, () => {
    const rules = { ...requestExploration.REAL_RULES, ...fault.rules };
    const found = requestExploration.explore(rules, fault.scope, fault.violates);
    assert.ok(found.broken.has(fault.violates), fault.description);
  });
}
