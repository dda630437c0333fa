/** Writes what was sent, answered and run into `record.txt`, with milliseconds since the start of the script. */
import * as fs from 'node:fs';
import * as path from 'node:path';

export const createRecord = (folder) => {
  const file = fs.openSync(path.join(folder, 'record.txt'), 'w');
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);
  return {
    now,
    write: (what, details = {}) => {
      const fields = Object.entries(details).map(([name, value]) =>
        typeof value === 'object' ? `${name}=${JSON.stringify(value)}` : `${name}=${value}`,
      );
      fs.writeSync(file, `${String(now()).padStart(7)} ${what} ${fields.join(' ')}\n`);
    },
  };
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Polls until the condition holds; returns whether it did in time. */
export const waitFor = async (condition, timeoutMs, pollMs = 20) => {
  const until = performance.now() + timeoutMs;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(pollMs);
  }
  return false;
};
