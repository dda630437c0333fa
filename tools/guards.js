/**
 * Removes each guard from the built code, one at a time, and expects a test to fail: a guard whose removal
 * fails no test may be lost unnoticed in a later change. Run after a build: `npm run guards`.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as guardList from './guardList.js';

const OUTPUT = 'target/guards';
const TIMEOUT_MS = 120_000;
const CONCURRENCY = 4;

const buildWithoutGuard = (index, file, from, to) => {
  const folder = path.join(OUTPUT, String(index));
  fs.rmSync(folder, { recursive: true, force: true });
  fs.cpSync('dist', folder, { recursive: true });
  const target = path.join(folder, file);
  const text = fs.readFileSync(target, 'utf8');
  if (!text.includes(from)) throw new Error(`${file} does not contain: ${from}`);
  fs.writeFileSync(target, text.replace(from, to));
  return folder;
};

/** `npm run guards -- WORD TESTS` checks only the guards whose names contain WORD, by the files whose paths contain TESTS. */
const [, , word = '', testWord = ''] = process.argv;

const Verdict = { caught: 'caught', missed: 'MISSED', timedOut: 'TIMED OUT' };

const runTests = (folder) =>
  new Promise((resolve) => {
    const files = guardList.TESTS.filter((it) => it.includes(testWord)).map((it) =>
      path.join(folder, it),
    );
    const child = childProcess.spawn(process.execPath, ['--test', ...files], { stdio: 'ignore' });
    const timer = setTimeout(() => child.kill(), TIMEOUT_MS);
    child.on('exit', (code) => {
      clearTimeout(timer);
      fs.rmSync(folder, { recursive: true, force: true });
      // Tests that were ended by the time-out show nothing.
      if (code === null) resolve(Verdict.timedOut);
      else resolve(code === 0 ? Verdict.missed : Verdict.caught);
    });
  });

const queue = guardList.GUARDS.map((guard, index) => ({ guard, index })).filter(({ guard }) =>
  guard[0].includes(word),
);
const total = queue.length;
let uncoveredCount = 0;
const checkQueuedGuards = async () => {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    const [name, file, from, to] = next.guard;
    const verdict = await runTests(buildWithoutGuard(next.index, file, from, to));
    if (verdict !== Verdict.caught) uncoveredCount += 1;
    console.log(`${verdict}  ${name}`);
  }
};
await Promise.all(Array.from({ length: CONCURRENCY }, checkQueuedGuards));
console.log(`${total - uncoveredCount} of ${total} guards are covered by a test`);
process.exit(uncoveredCount === 0 ? 0 : 1);
