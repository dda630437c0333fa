/**
 * The built client reading from and writing to pipes, files and devices.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as cliFixtures from './cliFixtures.js';
import * as shellRun from './shellRun.js';

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

/** An entry with one cell and a configuration of 300 kB. */
const entry = http.createServer((request, response) => {
  const isCells = request.url === '/api/cells';
  const record = { document: 'Z'.repeat(300_000) };
  response.end(JSON.stringify(isCells ? cliFixtures.CELLS : { record }));
});

/** Connection flags for the entry. */
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
  /** The failure that the case guards against. */
  readonly failure: string;
  readonly line: string;
  readonly status?: number;
  readonly out?: readonly RegExp[];
  /** Matches standard error; empty by default. */
  readonly error?: RegExp;
  readonly skip?: string | false;
}

/** Matches the late job of {@link LINES}, with 25 ms of `store` and 1,000 ms of `running`. */
const LATE = /^j +q +c +late +1030 +900 +5 +0 +0 +0 +0 +25 +1000 /m;
const NOTHING_SKIPPED = /passed over: 0 lines of other programs, 0 cut, 0 too long\n$/;

const READING: readonly Case[] = [
  {
    name: 'losses - reads a pipe',
    failure: 'a non-blocking read of an empty pipe fails with EAGAIN',
    line: '(sleep 3; cat "$LOG") | $RUN losses -',
    out: [LATE, NOTHING_SKIPPED],
  },
  {
    name: 'losses without FILE reads a pipe',
    failure: 'piped data is taken as the argument',
    line: 'cat "$LOG" | $RUN losses',
    out: [LATE, NOTHING_SKIPPED],
  },
  {
    name: 'losses without FILE reads a redirected file',
    failure: 'redirected data is taken as the argument',
    line: '$RUN losses < "$LOG"',
    out: [LATE, NOTHING_SKIPPED],
  },
  {
    name: 'losses reads a named pipe',
    failure: 'a named pipe is read as a regular file, by its size',
    line: '$RUN losses <(head -c 250 "$LOG"; sleep 1; tail -c +251 "$LOG")',
    out: [LATE, NOTHING_SKIPPED],
  },
  {
    name: 'trace reads a pipe that pauses within a line',
    failure: 'the pause is taken as the end of input, or splits a line',
    line: '(sleep 0.5; head -c 250 "$LOG"; sleep 1; tail -c +251 "$LOG") | $RUN trace j',
    out: [/^0\.030 +n1 +startGiven/m, /^0\.030 +1000 +running/m, NOTHING_SKIPPED],
  },
  {
    name: 'trace - reads a pipe that pauses within a character',
    failure: 'a two-byte character split over two chunks is decoded as two invalid ones',
    line:
      'L="$(head -1 "$LOG")"; (echo "$L"; printf "%s why=\\303" "$L"; sleep 1; printf "\\274\\n") ' +
      '| $RUN trace j -',
    out: [/why=ü$/m, NOTHING_SKIPPED],
  },
  {
    name: 'a pipe that ends within a line',
    failure: 'a truncated line is taken as complete: run=12 is read as run=1',
    line: 'head -c -30 "$LOG" | $RUN losses',
    out: [/^j +q +c +open/m, /passed over: 0 lines of other programs, 1 cut, 0 too long\n$/],
  },
  {
    name: 'a pipe that ends after a pair',
    failure: 'a possibly truncated value is taken as complete',
    line: '(cat "$LOG"; printf %s "$(head -1 "$LOG")") | $RUN losses',
    out: [LATE, /passed over: 0 lines of other programs, 1 cut, 0 too long\n$/],
  },
  {
    name: 'a line of megabytes',
    failure: 'an endless line exhausts the memory',
    line: '(cat "$LOG"; head -c 9000000 /dev/zero | tr "\\0" Z; echo; cat "$LOG") | $RUN losses',
    out: [/passed over: 0 lines of other programs, 0 cut, 1 too long\n$/],
  },
  {
    name: 'an empty pipe',
    failure: 'empty input gives an empty report instead of an error',
    line: 'true | $RUN losses',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'a pipe without an auburnlift log line',
    failure: 'the error quotes the whole input',
    line: 'head -c 90000 /dev/zero | tr "\\0" Z | $RUN trace j',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'an empty device',
    failure: 'a FILE that is not a regular file is rejected',
    line: '$RUN losses /dev/null',
    status: 10,
    error: /^error: invalidRequest: \/dev\/null: no line of a process's log\n$/,
  },
  {
    name: 'no standard input at all',
    failure: 'a program started without standard input prints a stack trace',
    line: '$RUN losses <&-',
    status: 10,
    error: /^error: invalidRequest: standard input: no line of a process's log\n$/,
  },
  {
    name: 'a missing FILE',
    failure: 'the error does not name it',
    line: '$RUN losses "$MISSING"',
    status: 13,
    error: /^error: notFound: \S+missing\.log: ENOENT: no such file or directory\n$/,
  },
  {
    name: 'a directory',
    failure: 'the error does not name it',
    line: '$RUN trace j "$FOLDER"',
    status: 13,
    error: /^error: notFound: \S+pipes-\S+: EISDIR: illegal operation on a directory\n$/,
  },
  {
    name: 'a FILE that may not be read',
    failure: 'the error does not name it',
    line: '$RUN losses "$LOCKED"',
    status: 13,
    error: /^error: notFound: \S+locked\.log: EACCES: permission denied\n$/,
    skip: IS_ROOT && 'root reads every file',
  },
  {
    name: 'a FILE whose reads fail',
    failure: 'a read error after opening prints a stack trace',
    line: '$RUN losses /proc/self/mem',
    status: 13,
    error: /^error: notFound: \/proc\/self\/mem: EIO: i\/o error\n$/,
  },
  {
    name: 'no FILE on a terminal',
    failure: 'the command waits for input without a message',
    line: 'NO_COLOR=1 script -qec "$RUN losses" /dev/null < /dev/null',
    status: 2,
    out: [/^ › {3}Error: FILE is missing: give one, or pipe into the command\r\n$/],
    skip: !fs.existsSync('/usr/bin/script') && 'no script(1) here to make a terminal',
  },
  {
    name: 'job submit without FILE reads a pipe that pauses',
    failure: 'piped data is taken as the argument',
    line: '(printf "{"; sleep 1; printf "}") | $RUN job submit --url http://127.0.0.1:1 --token t',
    status: 10,
    error: /^error: invalidRequest: job refused, nothing ran: jobId: [^\n]*\n$/,
  },
  {
    name: 'config check - reads a pipe that pauses',
    failure: 'a non-blocking read of an empty pipe fails with EAGAIN',
    line: '(sleep 0.5; printf "{") | $RUN config check - --url http://127.0.0.1:1 --token t',
    status: 10,
    error: /^error: invalidRequest: standard input: not JSON with comments: CloseBraceExpected\n$/,
  },
  {
    name: 'a document above its limit',
    failure: 'an endless document exhausts the memory',
    line: 'yes | $RUN config check - --url http://127.0.0.1:1 --token t',
    status: 15,
    error: /^error: tooLarge: standard input: a document has 8388608 bytes at most\n$/,
  },
  {
    name: 'a command with an omitted optional argument',
    failure: 'data piped to other commands is taken as the argument',
    line: 'echo nothing | $RUN cells --url http://127.0.0.1:1 --token t',
    status: 42,
    error: /^error: peerUnreachable: [^\n]*\n$/,
  },
];

const WRITING: readonly Case[] = [
  {
    name: 'a slow reader',
    failure: 'output beyond the pipe buffer is lost when the program exits',
    line: '$RUN trace j "$LONG" | (sleep 2; wc -l)',
    out: [/^10011\n$/],
  },
  {
    name: 'a slow reader of JSON',
    failure: 'the document is truncated',
    line: '$RUN config get --json $ACCESS | (sleep 2; wc -c)',
    out: [/^3000\d\d\n$/],
  },
  {
    name: 'a reader that closes the pipe',
    failure: 'a stack trace of EPIPE, or an exit status that fails a script',
    line: '$RUN trace j "$LONG" | head -1',
    out: [/^AFTER S +WHERE +WHAT\n$/],
  },
  {
    name: 'a reader that exits before the first line',
    failure: 'a stack trace of EPIPE, or an exit status that fails a script',
    line: '$RUN losses "$LONG" | true',
  },
  {
    name: 'a reader that closes while a command repeats',
    failure: 'the command keeps polling the entry without a reader',
    line: 'timeout 60 $RUN cells --watch 1 $ACCESS | head -1',
    out: [/^CELL +REGION/],
  },
];

const check = async ({ line: text, status = 0, out = [], error = /^$/ }: Case): Promise<void> => {
  const run = await shellRun.runShell(text, { ...VARIABLES, ACCESS: access });
  assert.match(run.error, error);
  out.forEach((it) => assert.match(run.out, it));
  assert.equal(run.status, status);
};

test.describe('input of the client', { concurrency: 4 }, () => {
  for (const it of READING) {
    test.it(`${it.name}: ${it.failure}`, { skip: it.skip ?? false }, () => check(it));
  }
});

test.describe('output of the client', { concurrency: 4 }, () => {
  for (const it of WRITING) test.it(`${it.name}: ${it.failure}`, () => check(it));
});
