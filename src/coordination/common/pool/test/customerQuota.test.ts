/**
 * Tests of what one customer's calls may take of an entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as customerQuota from '../customerQuota.js';

const { CallKind } = customerQuota;

const createQuota = (maxOpen = 100) => {
  let nowMs = 0;
  const quota = customerQuota.createCustomerQuota({
    maxPerS: { read: 10, write: 2 },
    maxOpen,
    nowMs: () => nowMs,
    onDidRefuse: () => undefined,
  });
  const countBegun = (customer: string, kind: customerQuota.CallKind, tries: number): number => {
    let begun = 0;
    for (let count = 0; count < tries; count += 1) {
      try {
        quota.begin(customer, kind)();
        begun += 1;
      } catch {
        // Refused.
      }
    }
    return begun;
  };
  return {
    quota,
    countBegun,
    advance: (durationMs: number): void => {
      nowMs += durationMs;
    },
  };
};

test.describe('a customer', () => {
  // Guards against one key that uses up the store's rate, of which all customers get their answers.
  test.it('gets its rate and two seconds of it at once, and takes nothing from others', () => {
    const { countBegun, advance } = createQuota();
    assert.equal(countBegun('a', CallKind.write, 50), 4);
    assert.equal(countBegun('a', CallKind.read, 50), 20);
    assert.equal(countBegun('b', CallKind.write, 50), 4);
    advance(1000);
    assert.equal(countBegun('a', CallKind.write, 50), 2);
    assert.equal(countBegun('a', CallKind.read, 50), 10);
  });

  // Guards against calls of one key that all wait for a slow store.
  test.it('has a limited number of calls open, and gets room when one ends', () => {
    const { quota } = createQuota(2);
    const end = quota.begin('a', CallKind.read);
    quota.begin('a', CallKind.read);
    assert.throws(() => quota.begin('a', CallKind.read), { kind: 'quotaExceeded' });
    quota.begin('b', CallKind.read);
    end();
    quota.begin('a', CallKind.read);
  });
});
