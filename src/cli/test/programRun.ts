/**
 * Runs the built client as people do, in a line of a shell, for tests of pipes.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

const DIST = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const PROGRAM = path.join(DIST, 'bin', 'auburnlift.js');

/** What a line of the shell printed and ended with. */
export interface ShellRun {
  readonly out: string;
  readonly error: string;
  /** The first status of the line's pipe, from its end, that is not 0. */
  readonly status: number | null;
}

/**
 * @param line - a line for the shell, in which `$RUN` is the client
 * @param variables - further variables of the line
 * @returns what it printed and ended with
 */
export const runShell = (
  line: string,
  variables: Readonly<Record<string, string>> = {},
): Promise<ShellRun> =>
  new Promise((resolve, reject) => {
    const child = childProcess.spawn('bash', ['-c', `set -o pipefail; ${line}`], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, RUN: `${process.execPath} ${PROGRAM}`, ...variables },
    });
    const printed = { out: '', error: '' };
    child.stdout.setEncoding('utf8').on('data', (text: string) => {
      printed.out += text;
    });
    child.stderr.setEncoding('utf8').on('data', (text: string) => {
      printed.error += text;
    });
    child.once('error', reject);
    child.once('close', (status) => resolve({ ...printed, status }));
  });
