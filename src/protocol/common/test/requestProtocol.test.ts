/**
 * At-most-once, by exhaustive exploration of the protocol's decisions at small scope.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as errors from '../../../base/common/errors.js';
import * as attemptSteps from '../attemptSteps.js';
import * as requestRecord from '../requestRecord.js';
import * as requestExploration from './requestExploration.js';

const SOUND_SCOPES = [
  { isIdempotent: false, copies: 0, agentCrashes: 1 },
  { isIdempotent: false, copies: 1, agentCrashes: 0 },
  { isIdempotent: true, copies: 0, agentCrashes: 0, maxPhase: 1 },
];

for (const scope of SOUND_SCOPES) {
  test.test(`no interleaving breaks a promise: ${JSON.stringify(scope)}`, (context) => {
    const found = requestExploration.explore(requestExploration.SOUND, scope);
    context.diagnostic(`states explored: ${found.states}`);
    assert.deepEqual([...found.broken], []);
    assert.deepEqual([...found.results].sort(), ['answer', 'refused', 'unknown']);
  });
}

const elsewhere = errors.fail('noUpstream', 'planted');

interface PlantedFault {
  readonly name: string;
  /** What a user would see, and why. */
  readonly story: string;
  readonly rules: Partial<requestExploration.Rules>;
  readonly scope: requestExploration.Scope;
  readonly breaks: string;
}

const PLANTED: readonly PlantedFault[] = [
  {
    name: 'retry without asking',
    story: 'Two crews are sent: a connection goes silent after the run and the entry tries another',
    rules: {
      afterRun: (it) => (it.type === 'answer' ? it : { type: 'elsewhere', error: elsewhere }),
    },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
  {
    name: 'a restarted agent says "never ran"',
    story: 'The agent runs a request and dies; its next boot, asked, does not know it',
    rules: {
      meet: (record, isBarred, head, agent) =>
        requestRecord.meet(record, isBarred, { ...head, bootId: agent.bootId }, agent),
    },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 1 },
    breaks: 'a request ran twice',
  },
  {
    name: 'a late message is not refused',
    story: 'The first message is held up until the bar that the question left has been dropped',
    rules: {
      meet: (record, isBarred, head, agent) =>
        head.mode === 'run'
          ? requestRecord.meet(record, isBarred, { ...head, startBeforeMs: Infinity }, agent)
          : requestRecord.meet(record, isBarred, head, agent),
    },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
  {
    name: 'a copy of a message is refused after ends were dropped',
    story: 'The answer to the run is lost; a copy that comes when the end is dropped is refused',
    rules: {
      meet: (record, isBarred, head, agent) =>
        head.mode === 'run' && record === undefined && agent.nowMs > head.startBeforeMs
          ? { arrival: { type: 'tooLate' }, barsAttempt: false }
          : requestRecord.meet(record, isBarred, head, agent),
    },
    scope: { isIdempotent: false, copies: 1, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
  {
    name: 'a question is answered after ends were dropped',
    story: 'The question comes when the end has been dropped, and "unknown" is taken for proof',
    rules: {
      meet: (record, isBarred, head, agent) =>
        head.mode === 'settle'
          ? requestRecord.meet(record, isBarred, { ...head, startBeforeMs: Infinity }, agent)
          : requestRecord.meet(record, isBarred, head, agent),
    },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
  {
    name: 'a refused attempt is not barred',
    story: 'A copy of a refused message comes when there is room, after the retry ran elsewhere',
    rules: { barsRefusals: false },
    scope: { isIdempotent: false, copies: 1, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
  {
    name: 'an answer is not matched with its attempt',
    story: 'A late answer to the first attempt is taken for the word on the second',
    rules: { checksEcho: false },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 0 },
    breaks: "another attempt's word was taken",
  },
  {
    name: 'the last refusal is passed on',
    story: 'An idempotent request runs, its answer is lost, the next agent refuses: "did not run"',
    rules: { worstOf: (_, latest) => latest },
    scope: { isIdempotent: true, copies: 0, agentCrashes: 0 },
    breaks: 'a refusal hides a run',
  },
  {
    name: 'an unsent question counts as proof',
    story: 'The agent dies with the run under way; the connection for the question is refused',
    rules: {
      afterSettle: (it, isIdempotent) =>
        it.type === 'noWord'
          ? { type: 'elsewhere', error: elsewhere }
          : attemptSteps.afterSettle(it, isIdempotent),
    },
    scope: { isIdempotent: false, copies: 0, agentCrashes: 0 },
    breaks: 'a request ran twice',
  },
];

for (const fault of PLANTED) {
  test.test(`the exploration finds a planted fault: ${fault.name}`, () => {
    const rules = { ...requestExploration.SOUND, ...fault.rules };
    const found = requestExploration.explore(rules, fault.scope, fault.breaks);
    assert.ok(found.broken.has(fault.breaks), fault.story);
  });
}
