/**
 * Starts the programs as child processes of a test, with settings files in a temporary folder.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as url from 'node:url';

/** A program that runs as a child process. */
export interface ChildProgram {
  readonly processId: number;
  /** Fields of its `started` log line, by key. */
  readonly started: ReadonlyMap<string, string>;
  /** Ends it with SIGKILL, as a power failure would. */
  readonly kill: () => Promise<void>;
  /** Ends it with SIGTERM and returns its exit status. */
  readonly terminate: () => Promise<number>;
}

/** Child processes of one test. */
export interface ChildPrograms {
  /** @param flags - flags of Node.js, such as the size of the heap */
  readonly start: (
    program: string,
    settings: object,
    flags?: readonly string[],
  ) => Promise<ChildProgram>;
  /** Runs a program that is expected to exit on its own. */
  readonly run: (program: string, settingsText: string) => { status: number; stderr: string };
  readonly dispose: () => Promise<void>;
}

const BIN = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../../bin');

const parseLine = (line: string): ReadonlyMap<string, string> =>
  new Map(
    line.split(' ').map((pair) => {
      const [key = '', ...value] = pair.split('=');
      return [key, value.join('=')] as const;
    }),
  );

const whenStarted = async (
  child: childProcess.ChildProcess,
): Promise<ReadonlyMap<string, string>> => {
  if (child.stdout === null) throw new Error('no standard output');
  const lines = readline.createInterface({ input: child.stdout });
  return new Promise((resolve, reject) => {
    lines.on('line', (line) => {
      const facts = parseLine(line);
      if (facts.get('event') === 'started') resolve(facts);
    });
    child.once('exit', (code) => reject(new Error(`ended with ${String(code)}`)));
  });
};

/**
 * @returns a launcher without child processes
 */
export const createChildPrograms = (): ChildPrograms => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'auburnlift-test-'));
  const children = new Set<childProcess.ChildProcess>();
  let count = 0;
  const writeSettings = (text: string): string => {
    count += 1;
    const file = path.join(folder, `settings-${count}.jsonc`);
    fs.writeFileSync(file, text);
    return file;
  };
  const end = async (child: childProcess.ChildProcess, signal: 'SIGKILL' | 'SIGTERM') => {
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode ?? -1;
    const ended = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    child.kill(signal);
    const code = await ended;
    children.delete(child);
    return code ?? -1;
  };
  return {
    start: async (program, settings, flags = []) => {
      const file = writeSettings(`// written by a test\n${JSON.stringify(settings, null, 2)}`);
      const script = path.join(BIN, `${program}.js`);
      const child = childProcess.spawn(process.execPath, [...flags, script, '--settings', file], {
        stdio: ['ignore', 'pipe', 'ignore'],
      });
      children.add(child);
      const started = await whenStarted(child);
      return {
        processId: child.pid ?? 0,
        started,
        kill: async () => {
          await end(child, 'SIGKILL');
        },
        terminate: () => end(child, 'SIGTERM'),
      };
    },
    run: (program, settingsText) => {
      const file = writeSettings(settingsText);
      const script = path.join(BIN, `${program}.js`);
      const result = childProcess.spawnSync(process.execPath, [script, '--settings', file], {
        encoding: 'utf8',
        timeout: 20_000,
      });
      return { status: result.status ?? -1, stderr: result.stderr.replaceAll(folder, '') };
    },
    dispose: async () => {
      await Promise.all([...children].map((it) => end(it, 'SIGKILL')));
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
};
