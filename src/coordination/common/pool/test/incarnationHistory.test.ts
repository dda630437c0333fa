/**
 * What an agent remembers of the end of its worker's incarnations: whether they crashed, and under which runs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as agentContract from '../../../../state/common/pool/agentContract.js';
import * as incarnationHistory from '../incarnationHistory.js';
import * as fixtures from './poolFixtures.js';

const INFO = fixtures.makeWorkerInfo('w');

interface Scene {
  readonly history: incarnationHistory.IncarnationHistory;
  readonly passMs: (durationMs: number) => void;
  /** A report of these runs, requested and received now. */
  readonly report: (running: readonly string[], ended?: readonly string[]) => void;
  readonly start: (task: string, outcome: agentContract.OrderOutcome) => void;
}

interface Case {
  readonly name: string;
  readonly act: (scene: Scene) => void;
  /** State of the incarnation before its end. */
  readonly state?: 'ready' | 'draining' | 'gone';
  readonly expected: Partial<agentContract.FormerIncarnation>;
}

const CASES: readonly Case[] = [
  {
    name: 'a run that began and did not end',
    act: ({ start, passMs, history }) => {
      start('a', 'accepted');
      passMs(10);
      history.recordSilence();
      passMs(3000);
    },
    expected: { hasCrashed: true, endedAgoMs: 3000, runs: [{ task: 'a', run: 1, ranMs: 10 }] },
  },
  {
    name: 'a run whose start got no answer',
    act: ({ start, history }) => {
      start('a', 'unknown');
      history.recordSilence();
    },
    expected: { runs: [{ task: 'a', run: 1, ranMs: 0 }] },
  },
  {
    name: 'not a run whose start was refused',
    act: ({ start }) => start('a', 'refused'),
    expected: { runs: [] },
  },
  {
    // Guards against blame of a task that was ordered from a worker that had crashed already.
    name: 'not a run that was ordered while the worker was silent',
    act: ({ start, history }) => {
      history.recordSilence();
      start('a', 'unknown');
      history.recordSilence();
    },
    expected: { runs: [] },
  },
  {
    name: 'a run that was ordered while the worker was silent for a moment',
    act: ({ start, history, passMs, report }) => {
      history.recordSilence();
      start('a', 'accepted');
      passMs(10);
      report(['a']);
      passMs(500);
    },
    expected: { runs: [{ task: 'a', run: 1, ranMs: 510 }] },
  },
  {
    name: 'not a run that ended',
    act: ({ start, passMs, report }) => {
      start('a', 'accepted');
      passMs(10);
      report([], ['a']);
    },
    expected: { runs: [] },
  },
  {
    name: 'not a run that a later report does not show',
    act: ({ start, passMs, report }) => {
      start('a', 'unknown');
      passMs(10);
      report([]);
    },
    expected: { runs: [] },
  },
  {
    name: 'a run that an agent process before it had started, without its age',
    act: ({ report }) => report(['a']),
    expected: { runs: [{ task: 'a', run: 1 }] },
  },
  {
    name: 'no crash of a worker that announced its end',
    act: ({ start }) => start('a', 'accepted'),
    state: 'draining',
    expected: { hasCrashed: false },
  },
  {
    name: 'nothing after a minute',
    act: ({ start }) => start('a', 'accepted'),
    expected: {},
  },
];

const createScene = (): Scene & { readonly nowMs: () => number } => {
  let nowMs = 1000;
  const history = incarnationHistory.createIncarnationHistory(() => nowMs);
  return {
    history,
    nowMs: () => nowMs,
    passMs: (durationMs) => {
      nowMs += durationMs;
    },
    report: (running, ended = []) =>
      history.recordReport(
        {
          incarnationMs: 1,
          clockMs: nowMs,
          running: running.map((task) => ({ task, run: 1, saved: '', percent: 0 })),
          ended: ended.map((task, index) => ({
            sequence: index + 1,
            task,
            run: 1,
            how: 'done',
            saved: '',
          })),
        },
        nowMs,
      ),
    start: (task, outcome) => history.trackStart(task, 1)(outcome),
  };
};

test.describe('an agent remembers of an incarnation that ended', () => {
  for (const { name, act, state = 'ready', expected } of CASES) {
    test.it(name, () => {
      const scene = createScene();
      act(scene);
      scene.history.recordSuccessor({ ...INFO, state });
      if (Object.keys(expected).length === 0) {
        scene.passMs(60_000);
        assert.deepEqual(scene.history.former(), []);
        return;
      }
      const [former] = scene.history.former();
      assert.ok(former);
      assert.deepEqual({ ...former, ...expected }, former);
      assert.equal(former.workerId, 'w');
    });
  }
});
