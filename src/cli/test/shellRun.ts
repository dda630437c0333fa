/**
 * Runs the built client in a shell command, for tests of pipes and exit codes.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

const DIST = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const PROGRAM = path.join(DIST, 'bin', 'auburnlift.js');

/** Output and exit status of a shell command. */
export interface ShellRun {
  readonly out: string;
  readonly error: string;
  /** Status of the last command of the pipeline that failed, or 0. */
  readonly status: number | null;
}

/**
 * @param line - a shell command, in which `$RUN` is the client
 * @param variables - further environment variables
 * @returns its output and exit status
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
