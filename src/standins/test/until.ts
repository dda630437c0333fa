/**
 * Polls in tests until a condition holds, with a bounded number of attempts.
 */
import * as assert from 'node:assert/strict';

const POLL_MS = 50;
const MAX_ATTEMPTS = 600;

/**
 * @param what - description for the error message
 * @param isDone - condition to poll; a rejection counts as not done
 */
export const until = async (what: string, isDone: () => Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (await isDone().catch(() => false)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  assert.fail(`condition not met in time: ${what}`);
};
