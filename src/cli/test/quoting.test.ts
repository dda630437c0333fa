/**
 * The built client on arguments and documents of thousands of characters: errors must stay readable.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';

import * as cliFixtures from './cliFixtures.js';
import * as shellRun from './shellRun.js';

const MAX_QUOTED = 200;

/** The letter occurs in no message of the client itself. */
const LONG = 'Z'.repeat(5000);

/** Long text with spaces, like a document. */
const TEXT = 'ZZZZ ZZZZ '.repeat(500);

/** An entry with the configuration of the fixtures; its errors repeat the path that was not found. */
const entry = http.createServer((request, response) => {
  const isConfig = request.url === '/api/config';
  response.statusCode = isConfig ? 200 : 404;
  const message = `no ${decodeURIComponent(request.url ?? '')}`;
  const answer = isConfig
    ? { record: cliFixtures.RECORD }
    : { error: { kind: 'notFound', message, field: LONG } };
  response.end(JSON.stringify(answer));
});

const connection = { access: '' };

test.before(
  () =>
    new Promise<void>((resolve) => {
      entry.listen(0, '127.0.0.1', () => {
        const { port } = entry.address() as net.AddressInfo;
        connection.access = `--url http://127.0.0.1:${port} --token t`;
        resolve();
      });
    }),
);

test.after(() => {
  entry.close();
  entry.closeAllConnections();
});

interface Case {
  readonly name: string;
  readonly line: string;
  readonly status: number;
  /** Text that the error must also contain. */
  readonly says: RegExp;
}

const CASES: readonly Case[] = [
  { name: 'a FILE', line: '$RUN losses "$LONG"', status: 13, says: /ENAMETOOLONG/ },
  { name: 'a JOB', line: '$GENERATED | $RUN trace "$LONG"', status: 13, says: /no line names/ },
  { name: 'an extra argument', line: '$RUN losses a "$LONG"', status: 2, says: /Unexpected arg/ },
  {
    name: 'many extra arguments',
    line: '$RUN losses a $TEXT',
    status: 2,
    says: /Unexpected arg/,
  },
  { name: 'an unknown flag', line: '$RUN losses --"$LONG"', status: 2, says: /Nonexistent flag/ },
  { name: 'an unknown command', line: '$RUN "$LONG"', status: 2, says: /Error: command Z/ },
  {
    name: 'a value that is not an option',
    line: '$RUN job list --state "$LONG"',
    status: 2,
    says: /Expected --state/,
  },
  {
    name: 'a value that is not a number',
    line: '$RUN cells --watch "$LONG"',
    status: 2,
    says: /Expected an integer/,
  },
  {
    name: 'an argument without =',
    line: '$RUN customer set acme "$LONG" --reason r $ACCESS',
    status: 10,
    says: /field=value is expected/,
  },
  {
    name: 'an unknown field',
    line: '$RUN customer set acme "$LONG=1" --reason r $ACCESS',
    status: 10,
    says: /invalidRequest/,
  },
  {
    name: 'a value of the wrong kind',
    line: '$RUN customer set acme requestWeight="$TEXT" --reason r $ACCESS',
    status: 10,
    says: /requestWeight/,
  },
  {
    name: 'an item that does not exist',
    line: '$RUN customer set "$TEXT" requestWeight=1 --reason r $ACCESS',
    status: 13,
    says: /in customers; nothing was written/,
  },
  {
    name: 'a job that no cell has',
    line: '$RUN explain "$TEXT" --cell a $ACCESS',
    status: 13,
    says: /notFound: no cell has a job/,
  },
  {
    name: 'input repeated by an entry',
    line: '$RUN upstream drain "$TEXT" $ACCESS',
    status: 13,
    says: /notFound: no \/api\/upstreams/,
  },
  {
    name: 'input repeated by an entry, as JSON',
    line: '$RUN upstream drain "$LONG" --json $ACCESS',
    status: 13,
    says: /"kind":"notFound"/,
  },
  {
    name: 'a value of a document',
    line: `printf '{"customers": "%s"}' "$TEXT" | $RUN config check $ACCESS`,
    status: 10,
    says: /standard input refused, nothing ran: customers/,
  },
  {
    name: 'a field of a document, as JSON',
    line: `printf '{"%s": 1}' "$LONG" | $RUN config check --json $ACCESS`,
    status: 10,
    says: /"issues"/,
  },
  {
    name: 'thousands of fields of a document',
    line: `(printf '{"Z": 1'; seq -f ', "f%g": 1' 1 5000; printf '}') | $RUN config check $ACCESS`,
    status: 10,
    says: /; and \d+ more$/m,
  },
];

const GENERATED =
  'echo at=2026-05-18T14:00:00.000Z event=jobAccepted role=entry node=e level=info job=j';

test.describe('errors quote at most 200 characters', { concurrency: 4 }, () => {
  for (const { name, line, status, says } of CASES) {
    test.it(name, async () => {
      const run = await shellRun.runShell(line, {
        LONG,
        TEXT,
        GENERATED,
        ACCESS: connection.access,
      });
      // In JSON each string is limited separately.
      const quotes = run.error.startsWith('{') ? run.error.split('"') : [run.error];
      const longest = Math.max(...quotes.map((it) => it.replace(/[^Z]/g, '').length));
      assert.ok(longest <= MAX_QUOTED, `${longest} characters are quoted`);
      assert.ok(run.error.length < 20 * MAX_QUOTED, `the error has ${run.error.length} characters`);
      assert.match(run.error, says);
      assert.equal(run.status, status);
    });
  }
});
