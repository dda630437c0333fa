/**
 * The built client on a log larger than its heap. Fails if a command holds its whole input in memory.
 */
import * as assert from 'node:assert/strict';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as shellRun from './shellRun.js';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));

/** About 80 MB of log. */
const JOBS = 25_000;

/** The first job of the generated log. */
const FIRST_JOB = '9e3779b97f4a7c15';

const SMALL_HEAP = 'NODE_OPTIONS=--max-old-space-size=64';

/** Repeats the line of a start more often than the limit of events per job. */
const REPEAT = `sed -n 6p | awk '{ for (n = 0; n < 400000; n += 1) print }'`;

interface Case {
  readonly name: string;
  readonly line: string;
  readonly out: readonly RegExp[];
}

const CASES: readonly Case[] = [
  {
    name: 'losses of many jobs',
    line: `$GENERATE ${JOBS} | ${SMALL_HEAP} $RUN losses`,
    out: [
      /^all +all +25000 +24500 +500 +0 /m,
      /^9e3779b97f4a7c15 +q0 +c0 +late +60100 +50000 +5 +50 /m,
      /passed over: 25000 lines of other programs, 0 cut, 0 too long\n$/,
    ],
  },
  {
    name: 'trace of one of many jobs',
    line: `$GENERATE ${JOBS} | ${SMALL_HEAP} $RUN trace ${FIRST_JOB}`,
    out: [/^60\.100 +scheduler-1 +jobEnded /m, /^0\.065 +59940 +running +done$/m],
  },
  {
    name: 'losses of one job with too many events',
    line: `($GENERATE 1; $GENERATE 1 | ${REPEAT}) | ${SMALL_HEAP} $RUN losses`,
    out: [/^all +all +1 +0 +1 +0 /m, /too long, 200018 beyond what is kept of one job\n$/],
  },
  {
    name: 'a log of other programs with an endless line',
    line: `($GENERATE 1; head -c 80000000 /dev/zero | tr "\\0" Z) | ${SMALL_HEAP} $RUN losses`,
    out: [
      /^all +all +1 +0 +1 +0 /m,
      /passed over: 1 lines of other programs, 0 cut, 1 too long\n$/,
    ],
  },
];

test.describe('in 64 MB of heap', () => {
  for (const { name, line, out } of CASES) {
    test.it(`${name}: the input is not held in memory`, async () => {
      const GENERATE = `${process.execPath} ${path.join(FOLDER, 'logGenerator.js')}`;
      const run = await shellRun.runShell(line, { GENERATE });
      assert.equal(run.error, '');
      out.forEach((it) => assert.match(run.out, it));
      assert.equal(run.status, 0);
    });
  }
});
