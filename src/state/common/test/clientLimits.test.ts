/**
 * Tests of the default limits on clients.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as clientLimits from '../clientLimits.js';

const MB = 1_048_576;

/** What the deploy file and the platform give an entry. */
const ENTRY = { heapBytes: 132 * MB, memoryBytes: 350 * MB, maxDescriptors: 4100 };

/** Heap that the limits leave to what the process does at the design size. */
const WORK_SHARE = 0.5;

test.describe('the default limits on clients', () => {
  test.it('carry the design size', () => {
    const limits = clientLimits.deriveClientLimits(ENTRY);
    // Agents of 670 workers may reach their store through one entry.
    assert.ok(limits.maxConnections * 0.5 > 670, String(limits.maxConnections));
    assert.ok(limits.maxBufferedBytes >= 32 * MB, String(limits.maxBufferedBytes));
  });

  for (const memoryMb of [64, 160, 218, 350, 1024]) {
    test.it(`leave half of the heap, and stay within ${memoryMb} MB`, () => {
      const heapBytes = (memoryMb * MB) / 3;
      const budget = { heapBytes, memoryBytes: memoryMb * MB, maxDescriptors: 4100 };
      const limits = clientLimits.deriveClientLimits(budget);
      const heapOfClients = limits.maxConnections * 20_480 + limits.maxHandledRequests * 16_384;
      assert.ok(heapOfClients <= heapBytes * WORK_SHARE, String(heapOfClients));
      assert.ok(limits.maxBufferedBytes <= Math.max(4 * MB, budget.memoryBytes - heapBytes));
      assert.ok(limits.maxConnections < budget.maxDescriptors - 200);
    });
  }

  test.it('give way to settings', () => {
    const limits = clientLimits.deriveClientLimits(ENTRY, { maxConnections: 12 });
    assert.equal(limits.maxConnections, 12);
    assert.equal(limits.idleTimeoutMs, clientLimits.deriveClientLimits(ENTRY).idleTimeoutMs);
  });

  test.it('leave three quarters of the store to the other customers', () => {
    const budget = { ...ENTRY, storeReadsPerS: 2000, storeWritesPerS: 400 };
    const limits = clientLimits.deriveClientLimits(budget);
    assert.deepEqual([limits.maxCustomerReadsPerS, limits.maxCustomerWritesPerS], [500, 100]);
  });
});
