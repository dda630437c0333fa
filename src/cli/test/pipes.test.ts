/**
 * The built client at the end and at the beginning of pipes.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as cliFixtures from './cliFixtures.js';
import * as programRun from './programRun.js';

const FOLDER = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-pipes-'));
const LOG = path.join(FOLDER, 'all.log');
const LONG = path.join(FOLDER, 'long.log');
const MISSING = path.join(FOLDER, 'missing.log');
const LOCKED = path.join(FOLDER, 'locked.log');

const line = (afterMs: number, event: string, role: string, rest: string): string =>
  `at=${new Date(Date.parse('2026-05-18T14:00:00.000Z') + afterMs).toISOString()} ` +
  `event=${event} role=${role} node=n1 level=info ${rest}\n`;

const LINES = [
  line(0, 'jobAccepted', 'entry', 'job=j queue=q customer=c'),
  line(5, 'jobLearnt', 'scheduler', 'job=j'),
  line(5, 'placed', 'scheduler', 'job=j group=j.0.0.0 run=1 workers=w1 waitedMs=0 away=0'),
  line(30, 'startGiven', 'agent', 'task=j.0.0.0 run=1 outcome=accepted'),
  line(1030, 'runEnded', 'scheduler', 'job=j group=j.0.0.0 run=1 how=done heldMs=1000 cores=8'),
  line(
    1030,
    'jobEnded',
    'scheduler',
    'job=j queue=q customer=c state=complete durationMs=1030 objectiveMs=900 timeliness=late',
  ),
].join('');

const VARIABLES = { LOG, LONG, MISSING, LOCKED, FOLDER };

/** An entry that has one cell and a configuration of 300 kB. */
const entry = http.createServer((request, response) => {
  const isCells = request.url === '/api/cells';
  const record = { document: 'Z'.repeat(300_000) };
  response.end(JSON.stringify(isCells ? cliFixtures.CELLS : { record }));
});

/** How the entry is reached. */
let access = '';

test.before(() => {
  fs.writeFileSync(LOG, LINES);
  fs.writeFileSync(LONG, LINES + line(5, 'waits', 'scheduler', 'job=j group=j.1.0.0').repeat(9999));
  fs.writeFileSync(LOCKED, LINES, { mode: 0 });
  return new Promise<void>((resolve) => {
    entry.listen(0, '127.0.0.1', () => {
      const { port } = entry.address() as net.AddressInfo;
      access = `--url http://127.0.0.1:${port} --token t`;
      resolve();
    });
  });
});

test.after(() => {
  entry.close();
  entry.closeAllConnections();
  fs.rmSync(FOLDER, { recursive: true });
});

const IS_ROOT = process.getuid?.() === 0;

interface Case {
  readonly name: string;
  /** What the case guards against. */
  readonly story: string;
  readonly line: string;
  readonly status?: number;
  readonly out?: readonly RegExp[];
  /** The whole of standard error; nothing unless given. */
  readonly error?: RegExp;
  readonly skip?: string | false;
}

/** The late job of {@link LINES}, with its 25 ms of storing and 1,000 ms of running. */
const LATE = /^j +q +c +late +1030 +900 +5 +0 +0 +0 +0 +25 +1000 /m;
const NOTHING_CUT = /passed over: 0 lines of other programs, 0 cut, 0 too long\n$/;

const READING: readonly Case[] = [
  {
    name: 'losses - reads a pipe',
    story: 'a pipe that has nothing yet answers EAGAIN to a read that does not wait',
    line: '(sleep 3; cat "$LOG") | $RUN losses -',
    out: [LATE, NOTHING_CUT],
  },
  {
    name: 'losses without FILE reads a pipe',
    story: 'what is piped is taken for the argument',
    line: 'cat "$LOG" | $RUN losses',
    out: [LATE, NOTHING_CUT],
  },
  {
    name: 'losses without FILE reads a redirected file',
    story: 'what is redirected is taken for the argument',
    line: '$RUN losses < "$LOG"',
    out: [LATE, NOTHING_CUT],
  },
  {
    name: 'losses reads a named pipe',
    story: 'a FILE that is a pipe has no size and no end at the first read',
    line: '$RUN losses <(head -c 250 "$LOG"; sleep 1; tail -c +251 "$LOG")',
    out: [LATE, NOTHING_CUT],
  },
  {
    name: 'trace reads a pipe that pauses within a line',
    story: 'the pause is taken for the end, or splits a line',
    line: '(sleep 0.5; head -c 250 "$LOG"; sleep 1; tail -c +251 "$LOG") | $RUN trace j',
    out: [/^0\.030 +n1 +startGiven/m, /^0\.030 +1000 +running/m, NOTHING_CUT],
  },
  {
    name: 'trace - reads a pipe that pauses within a character',
    story: 'a character of two bytes that comes in two chunks turns into two that are none',
    line:
      'L="$(head -1 "$LOG")"; (echo "$L"; printf "%s why=\\303" "$L"; sleep 1; printf "\\274\\n") ' +
      '| $RUN trace j -',
    out: [/why=ü$/m, NOTHING_CUT],
  },
  {
    name: 'a pipe that is cut in mid-line',
    story: 'the rest of a line reads like a whole one: run=12 that was cut is run=1',
    line: 'head -c -30 "$LOG" | $RUN losses',
    out: [/^j +q +c +open/m, /passed over: 0 lines of other programs, 1 cut, 0 too long\n$/],
  },
  {
    name: 'a pipe that is cut behind a pair',
    story: 'the end of a value cannot be told from a cut within it',
    line: '(cat "$LOG"; printf %s "$(head -1 "$LOG")") | $RUN losses',
    out: [LATE, /passed over: 0 lines of other programs, 1 cut, 0 too long\n$/],
  },
  {
    name: 'a line of megabytes',
    story: 'a line without an end fills the memory',
    line: '(cat "$LOG"; head -c 9000000 /dev/zero | tr "\\0" Z; echo; cat "$LOG") | $RUN losses',
    out: [/passed over: 0 lines of other programs, 0 cut, 1 too long\n$/],
  },
  {
    name: 'an empty pipe',
    story: 'nothing to read reads like a job that never was',
    line: 'true | $RUN losses',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'a pipe without a line of ours',
    story: 'what was piped is quoted as a whole',
    line: 'head -c 90000 /dev/zero | tr "\\0" Z | $RUN trace j',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'an empty device',
    story: 'a FILE that is no plain file is refused',
    line: '$RUN losses /dev/null',
    status: 10,
    error: /^error: invalidRequest: \/dev\/null: no line of a process's log\n$/,
  },
  {
    name: 'no standard input at all',
    story: 'a program started without one gets a stack trace',
    line: '$RUN losses <&-',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'a missing FILE',
    story: 'the error does not name it',
    line: '$RUN losses "$MISSING"',
    status: 13,
    error: /^error: notFound: \S+missing\.log: ENOENT: no such file or directory\n$/,
  },
  {
    name: 'a folder',
    story: 'the error does not name it',
    line: '$RUN trace j "$FOLDER"',
    status: 13,
    error: /^error: notFound: \S+pipes-\S+: EISDIR: illegal operation on a directory\n$/,
  },
  {
    name: 'a FILE that may not be read',
    story: 'the error does not name it',
    line: '$RUN losses "$LOCKED"',
    status: 13,
    error: /^error: notFound: \S+locked\.log: EACCES: permission denied\n$/,
    skip: IS_ROOT && 'root reads every file',
  },
  {
    name: 'a FILE whose reads fail',
    story: 'what fails after it was opened ends with a stack trace',
    line: '$RUN losses /proc/self/mem',
    status: 13,
    error: /^error: notFound: \/proc\/self\/mem: EIO: i\/o error\n$/,
  },
  {
    name: 'no FILE on a terminal',
    story: 'the command waits for lines without a word',
    line: 'NO_COLOR=1 script -qec "$RUN losses" /dev/null < /dev/null',
    status: 2,
    out: [/^ › {3}Error: FILE is missing: give one, or pipe into the command\r\n$/],
    skip: !fs.existsSync('/usr/bin/script') && 'no script(1) here to make a terminal',
  },
  {
    name: 'job submit without FILE reads a pipe that pauses',
    story: 'what is piped is taken for the argument',
    line: '(printf "{"; sleep 1; printf "}") | $RUN job submit --url http://127.0.0.1:1 --token t',
    status: 10,
    error: /^error: invalidRequest: job refused, nothing ran: jobId: [^\n]*\n$/,
  },
  {
    name: 'config check - reads a pipe that pauses',
    story: 'a pipe that has nothing yet answers EAGAIN to a read that does not wait',
    line: '(sleep 0.5; printf "{") | $RUN config check - --url http://127.0.0.1:1 --token t',
    status: 10,
    error: /^error: invalidRequest: standard input: not JSON with comments: CloseBraceExpected\n$/,
  },
  {
    name: 'a document above its limit',
    story: 'a document without an end fills the memory',
    line: 'yes | $RUN config check - --url http://127.0.0.1:1 --token t',
    status: 15,
    error: /^error: tooLarge: standard input: a document has 8388608 bytes at most\n$/,
  },
  {
    name: 'a command with a word that is left out',
    story: 'what is piped to others is taken for the argument',
    line: 'echo nothing | $RUN cells --url http://127.0.0.1:1 --token t',
    status: 42,
    error: /^error: peerUnreachable: [^\n]*\n$/,
  },
];

const WRITING: readonly Case[] = [
  {
    name: 'a reader that is slow',
    story: 'what the pipe does not hold at the end of the program is lost',
    line: '$RUN trace j "$LONG" | (sleep 2; wc -l)',
    out: [/^10011\n$/],
  },
  {
    name: 'a slow reader of JSON',
    story: 'half a document is no document',
    line: '$RUN config get --json $ACCESS | (sleep 2; wc -c)',
    out: [/^3000\d\d\n$/],
  },
  {
    name: 'a reader that closes',
    story: 'a stack trace of EPIPE, or a status that fails a script',
    line: '$RUN trace j "$LONG" | head -1',
    out: [/^AFTER S +WHERE +WHAT\n$/],
  },
  {
    name: 'a reader that is gone before the first line',
    story: 'a stack trace of EPIPE, or a status that fails a script',
    line: '$RUN losses "$LONG" | true',
  },
  {
    name: 'a reader that closes while a command repeats',
    story: 'the command goes on asking the entry for nobody',
    line: 'timeout 60 $RUN cells --watch 1 $ACCESS | head -1',
    out: [/^CELL +REGION/],
  },
];

const check = async ({ line: text, status = 0, out = [], error = /^$/ }: Case): Promise<void> => {
  const run = await programRun.runShell(text, { ...VARIABLES, ACCESS: access });
  assert.match(run.error, error);
  out.forEach((it) => assert.match(run.out, it));
  assert.equal(run.status, status);
};

test.describe('what the client reads', { concurrency: 4 }, () => {
  for (const it of READING) {
    test.it(`${it.name}: ${it.story}`, { skip: it.skip ?? false }, () => check(it));
  }
});

test.describe('what the client writes', { concurrency: 4 }, () => {
  for (const it of WRITING) test.it(`${it.name}: ${it.story}`, () => check(it));
});
