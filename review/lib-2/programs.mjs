/** Starts the project's programs with the commands of the deploy file, and restarts what exits, as the platform does. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const RESTART_MS = 500;
const MAX_PROGRAMS = 200;

process.setMaxListeners(MAX_PROGRAMS);
const LOG_TAIL_BYTES = 4000;

/** @returns by role, the words of its command and the class of its machines */
export const readRoles = () => {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const roles = {};
  for (const part of text.split(/^\[roles\./m).slice(1)) {
    const name = part.slice(0, part.indexOf(']'));
    const valueOf = (key) => new RegExp(`^${key} = "([^"]*)"`, 'm').exec(part)[1];
    roles[name] = { words: valueOf('run').split(' '), on: valueOf('on') };
  }
  return roles;
};

/**
 * @param options - `name`, `words` of the command, `settings` (path of its file), `folder` for its log, `record`
 * @returns the supervised program
 */
export const startProgram = ({ name, words, settings, folder, record }) => {
  const logFile = path.join(folder, `${name}.log`);
  const log = fs.openSync(logFile, 'a');
  let child;
  let isClosed = false;
  let exits = 0;
  let restartMs = RESTART_MS;
  let isToldToEnd = false;
  const start = () => {
    if (isClosed) return;
    const { PATH, HOME, LANG } = process.env;
    isToldToEnd = false;
    restartMs = RESTART_MS;
    child = childProcess.spawn(words[0] === 'node' ? process.execPath : words[0], words.slice(1), {
      cwd: ROOT,
      env: { PATH, HOME, LANG, AUBURNLIFT_BOOT: settings },
      stdio: ['ignore', log, log],
    });
    child.once('exit', (code, signal) => {
      if (isClosed) return;
      if (!isToldToEnd) exits += 1;
      record(`${name} exited (${signal ?? code})${isToldToEnd ? '' : ' by itself'}`);
      setTimeout(start, restartMs);
    });
  };
  start();
  const killNow = () => child.kill('SIGKILL');
  process.once('exit', killNow);
  return {
    name,
    /** How often it ended by itself. */
    exits: () => exits,
    signal: (signal) => child.kill(signal),
    kill: (awayMs = RESTART_MS) => {
      isToldToEnd = true;
      restartMs = awayMs;
      record(`${name} is killed`);
      child.kill('SIGKILL');
    },
    logTail: () => {
      const text = fs.readFileSync(logFile, 'utf8');
      return text.slice(-LOG_TAIL_BYTES);
    },
    close: () =>
      new Promise((resolve) => {
        isClosed = true;
        process.off('exit', killNow);
        const done = () => {
          fs.closeSync(log);
          resolve();
        };
        if (child.exitCode !== null || child.signalCode !== null) done();
        else {
          child.removeAllListeners('exit');
          child.once('exit', done);
          child.kill('SIGKILL');
        }
      }),
  };
};
