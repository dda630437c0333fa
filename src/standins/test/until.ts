/**
 * Waiting in tests for what happens in its own time, in bounded tries.
 */
import * as assert from 'node:assert/strict';

const POLL_MS = 50;
const TRIES = 600;

/**
 * @param what - for the message
 * @param isDone - asked again and again; a throw counts as not yet
 */
export const until = async (what: string, isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail(`never happened: ${what}`);
};
