/**
 * Runs one program of the product as a child process and restarts it whenever it exits, as the platform
 * does. Signals go only to the process id of that child.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as perfHooks from 'node:perf_hooks';
import * as url from 'node:url';

import type * as disposable from '../base/common/disposable.js';

/** Which program to run, and how. */
export interface ProgramOptions {
  /** Name of the process in reports, and of its log file. */
  readonly name: string;
  /** File name of the built program, without its extension. */
  readonly program: string;
  readonly env: Readonly<Record<string, string>>;
  /** Folder for its log file. */
  readonly folder: string;
  /** Called when the process exits without having been asked to. */
  readonly onDidFail: (reason: string) => void;
}

/** A program that is restarted whenever it exits. */
export interface SupervisedProcess extends disposable.Disposable {
  readonly name: string;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Kills the process and restarts it after this delay, at least {@link RESTART_MS}. */
  readonly kill: (awayMs: number) => void;
  /** Sends SIGTERM, and SIGKILL after the grace period; restarts the process once it has exited. */
  readonly terminate: () => void;
}

/** The platform restarts a process after about this delay. */
const RESTART_MS = 300;

/** Time to load Node.js and the first modules of a program while a few other processes are busy. */
const LOAD_MS = 2000;

/** Grace period between SIGTERM and SIGKILL, as in the settings of a soak. */
const GRACE_MS = 6000;

const HERE = path.dirname(url.fileURLToPath(import.meta.url));

/**
 * @param options - which program to run, and how
 * @returns the started process
 */
export const supervise = (options: ProgramOptions): SupervisedProcess => {
  const logFile = fs.openSync(path.join(options.folder, `${options.name}.log`), 'a');
  let child: childProcess.ChildProcess;
  let restartMs = RESTART_MS;
  let isExpectedToEnd = false;
  let isDisposed = false;
  let startedAtMs = 0;
  let onDidExit: () => void = () => undefined;

  const start = (): void => {
    if (isDisposed) return;
    isExpectedToEnd = false;
    restartMs = RESTART_MS;
    startedAtMs = perfHooks.performance.now();
    const script = path.join(HERE, `../bin/${options.program}.js`);
    child = childProcess.spawn(
      process.execPath,
      ['--import', path.join(HERE, 'clockStep.js'), script],
      { env: { PATH: process.env.PATH, ...options.env }, stdio: ['ignore', logFile, logFile] },
    );
    child.once('exit', (code, signal) => {
      onDidExit();
      if (isDisposed) return;
      if (!isExpectedToEnd) {
        options.onDidFail(`${options.name} exited by itself: ${String(signal ?? code)}`);
      }
      setTimeout(start, restartMs);
    });
  };
  start();
  // A soak that fails with an error would leave child processes that hold the ports of the next soak.
  const killChild = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', killChild);

  return {
    name: options.name,
    signal: (signal) => {
      const isLoading = perfHooks.performance.now() - startedAtMs < LOAD_MS;
      // Before Node.js has loaded the program's handlers, the default action of these signals kills it.
      if (isLoading && (signal === 'SIGHUP' || signal === 'SIGUSR2')) return;
      child.kill(signal);
    },
    kill: (awayMs) => {
      isExpectedToEnd = true;
      restartMs = Math.max(RESTART_MS, awayMs);
      child.kill('SIGKILL');
    },
    terminate: () => {
      const terminating = child;
      isExpectedToEnd = true;
      terminating.kill('SIGTERM');
      setTimeout(() => terminating.kill('SIGKILL'), GRACE_MS).unref();
    },
    dispose: () =>
      new Promise<void>((resolve) => {
        isDisposed = true;
        process.off('exit', killChild);
        const close = (): void => {
          fs.closeSync(logFile);
          resolve();
        };
        if (child.exitCode !== null || child.signalCode !== null) {
          close();
          return;
        }
        onDidExit = close;
        // SIGKILL also ends a process that is stopped by SIGSTOP.
        child.kill('SIGKILL');
      }),
  };
};
