/**
 * One real program of the product as a child process, started again whenever it ends, as the platform
 * does. Signals go to its own process id and to no other.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as perfHooks from 'node:perf_hooks';
import * as url from 'node:url';

import type * as disposable from '../base/common/disposable.js';

/** What is run, and how. */
export interface ProgramOptions {
  /** Names the process in reports and its log. */
  readonly name: string;
  /** File of the program among the built ones. */
  readonly program: string;
  readonly env: Readonly<Record<string, string>>;
  /** Folder of its log. */
  readonly folder: string;
  /** A process that ended without having been told to. */
  readonly onDidFail: (reason: string) => void;
}

/** A program that is kept running. */
export interface SupervisedProcess extends disposable.Disposable {
  readonly name: string;
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Kills it; it stays away for this long. */
  readonly kill: (awayMs: number) => void;
  /** Asks it to end, and starts it again once it has; killed after its time of grace. */
  readonly terminate: () => void;
}

/** The platform starts a process again after about this time. */
const RESTART_MS = 300;

/** Node.js and the first modules of a program are loaded within it, beside a few busy processes. */
const LOADING_MS = 2000;

/** Time of grace after SIGTERM, as in the settings of a soak. */
const GRACE_MS = 6000;

const HERE = path.dirname(url.fileURLToPath(import.meta.url));

/**
 * @param options - what is run
 * @returns the process, running
 */
export const supervise = (options: ProgramOptions): SupervisedProcess => {
  const logFile = fs.openSync(path.join(options.folder, `${options.name}.log`), 'a');
  let child: childProcess.ChildProcess;
  let restartMs = RESTART_MS;
  let isExpectedToEnd = false;
  let isDisposed = false;
  let startedAtMs = 0;
  let onDidEnd: () => void = () => undefined;

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
      onDidEnd();
      if (isDisposed) return;
      if (!isExpectedToEnd) {
        options.onDidFail(`${options.name} ended by itself: ${String(signal ?? code)}`);
      }
      setTimeout(start, restartMs);
    });
  };
  start();
  // A soak that ends by an error would leave its processes behind, at the ports of the next one.
  const endWithSoak = (): void => {
    child.kill('SIGKILL');
  };
  process.once('exit', endWithSoak);

  return {
    name: options.name,
    signal: (signal) => {
      const isLoading = perfHooks.performance.now() - startedAtMs < LOADING_MS;
      // Until Node.js itself has started no program can listen for these, and they would end it.
      if (isLoading && (signal === 'SIGHUP' || signal === 'SIGUSR2')) return;
      child.kill(signal);
    },
    kill: (awayMs) => {
      isExpectedToEnd = true;
      restartMs = Math.max(RESTART_MS, awayMs);
      child.kill('SIGKILL');
    },
    terminate: () => {
      const ending = child;
      isExpectedToEnd = true;
      ending.kill('SIGTERM');
      setTimeout(() => ending.kill('SIGKILL'), GRACE_MS).unref();
    },
    dispose: () =>
      new Promise<void>((resolve) => {
        isDisposed = true;
        process.off('exit', endWithSoak);
        const close = (): void => {
          fs.closeSync(logFile);
          resolve();
        };
        if (child.exitCode !== null || child.signalCode !== null) {
          close();
          return;
        }
        onDidEnd = close;
        // A stopped process is ended as well by this signal.
        child.kill('SIGKILL');
      }),
  };
};
