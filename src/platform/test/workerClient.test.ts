/**
 * Client of the worker, checked against the worker's documentation, and the outcome of each answer to an order.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as metrics from '../../base/common/metrics.js';
import type * as agentContract from '../../state/common/pool/agentContract.js';
import * as workerClient from '../workerClient.js';
import * as scripted from './scriptedCall.js';

const create = (scriptedCall: scripted.ScriptedCall): agentContract.WorkerApi =>
  workerClient.createWorkerClient({
    address: () => ({ host: '127.0.0.1', port: 1 }),
    call: scriptedCall.call,
    metrics: metrics.createMetrics(),
  });

const START: agentContract.WorkerStart = {
  task: 'j.0.0.0',
  run: 2,
  payload: 'text',
  leaseUntilMs: 500,
  fence: 7,
  saved: '',
  ticket: undefined,
};

interface Case {
  readonly name: string;
  readonly answer: scripted.ScriptedAnswer;
  readonly outcome: string;
  readonly reason?: string;
}

const START_CASES: readonly Case[] = [
  { name: 'accepted', answer: { status: 200, body: { clock_ms: 1 } }, outcome: 'accepted' },
  {
    name: 'refused with its reason',
    answer: { status: 409, body: { clock_ms: 1, reason: 'room' } },
    outcome: 'refused',
    reason: 'room',
  },
  { name: 'another incarnation of the worker', answer: { status: 421 }, outcome: 'refused' },
  { name: 'unhealthy: nothing was done', answer: { status: 503 }, outcome: 'refused' },
  { name: 'too many requests: nothing was done', answer: { status: 429 }, outcome: 'refused' },
  { name: 'no connection', answer: { failure: 'notSent' }, outcome: 'refused' },
  // The order may be executed seconds later: if another worker got the task now, it would run twice.
  { name: 'no answer', answer: { failure: 'timeout' }, outcome: 'unknown' },
  { name: 'a truncated answer', answer: { failure: 'lost' }, outcome: 'unknown' },
  { name: 'a failure after the order was executed', answer: { status: 500 }, outcome: 'unknown' },
];

test.describe('workerClient', () => {
  for (const it of START_CASES) {
    test.it(`start: ${it.name}`, async () => {
      const answer = await create(scripted.createScriptedCall(it.answer)).start('i-1', START);
      assert.equal(answer.outcome, it.outcome);
      if (it.reason !== undefined) assert.equal(answer.reason, it.reason);
    });
  }

  test.it('a start names the intended worker and omits empty fields', async () => {
    const scriptedCall = scripted.createScriptedCall({ status: 200 });
    await create(scriptedCall).start('i-1', START);
    const [sent] = scriptedCall.sent;
    assert.equal(sent?.path, '/-/run-start');
    assert.equal(sent.headers['auburnlift-expect-instance'], 'i-1');
    assert.deepEqual(sent.body, {
      task: 'j.0.0.0',
      run: 2,
      spec: 'text',
      deadline_ms: 500,
      fence: 7,
    });
  });

  test.it('a report request without a lease renews nothing', async () => {
    const view = { clock_ms: 9, born: 3, running: [['j.0.0.0', 2, 's', 41, 7]], ended: [] };
    const scriptedCall = scripted.createScriptedCall({ status: 200, body: view });
    const request = { fence: 7, leaseUntilMs: 0, seenUpTo: 4, waitMs: 100 };
    const answer = await create(scriptedCall).view(undefined, request);
    assert.deepEqual(scriptedCall.sent[0]?.body, { fence: 7, seen_upto: 4, wait_ms: 100 });
    assert.deepEqual(answer, {
      outcome: 'view',
      view: {
        incarnationMs: 3,
        clockMs: 9,
        running: [{ task: 'j.0.0.0', run: 2, saved: 's', percent: 41, loadFigure: 7 }],
        ended: [],
      },
    });
  });

  // Guards against done runs that are started again since a full list of ends leaves out theirs.
  const LISTED_ENDS: readonly [ends: number, mayOmitEnds: true | undefined][] = [
    [499, undefined],
    [500, true],
  ];
  for (const [count, mayOmitEnds] of LISTED_ENDS) {
    test.it(`a report that lists ${count} ends`, async () => {
      const ended = Array.from({ length: count }, (_, index) => [index + 1, 't', 1, 'done', '']);
      const scriptedCall = scripted.createScriptedCall({
        status: 200,
        body: { clock_ms: 1, ended },
      });
      const request = { fence: 7, leaseUntilMs: 0, seenUpTo: 0, waitMs: 0 };
      const answer = await create(scriptedCall).view('i-1', request);
      assert.ok(answer.outcome === 'view');
      assert.equal(answer.view.ended.length, count);
      assert.equal(answer.view.mayOmitEnds, mayOmitEnds);
    });
  }

  const UNREADABLE: readonly [string, scripted.ScriptedAnswer][] = [
    ['bytes that are not JSON', { status: 200, body: 'garbage' }],
    // With a partial report the missing runs would count as gone and be started again.
    ['a malformed row', { status: 200, body: { clock_ms: 1, running: [['t']], ended: [] } }],
    [
      'an unknown kind of end',
      { status: 200, body: { clock_ms: 1, ended: [[1, 't', 1, '?', '']] } },
    ],
    ['a clock of another type', { status: 200, body: { clock_ms: 'now' } }],
  ];
  for (const [name, answer] of UNREADABLE) {
    test.it(`a report with ${name} is not decoded`, async () => {
      const request = { fence: 7, leaseUntilMs: 0, seenUpTo: 0, waitMs: 0 };
      const received = await create(scripted.createScriptedCall(answer)).view('i-1', request);
      assert.equal(received.outcome, 'unknown');
    });
  }
});
