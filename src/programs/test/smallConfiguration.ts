/**
 * A small configuration for tests: one cell, one customer that may borrow everything.
 */
import type * as configuration from '../../state/common/configuration.js';

/**
 * @param workers - workers of the cell, 8 accelerators each
 * @returns the document
 */
export const smallConfiguration = (workers: number): configuration.ConfigurationDocument => ({
  customers: [
    {
      customerId: 'customer-a',
      name: 'Customer A',
      requestWeight: 1,
      guaranteedSlots: 0,
      quotaAccelerators: workers * 8,
    },
  ],
  shapes: [],
  rules: [
    {
      ruleId: 'all',
      customerIds: ['customer-a'],
      cells: [],
      weight: 1,
      maxAccelerators: workers * 8,
      throttleFirst: false,
    },
  ],
  cells: [
    { cell: 'zone-a', region: 'region-a', workers, acceleratorsPerWorker: 8, workersPerRack: 3 },
  ],
  placement: {
    completionWeight: 0.5,
    reclaimGraceMs: 500,
    largeJobAccelerators: 64,
    largeJobWaitMs: 60_000,
    quarantineFailures: 3,
    quarantineCapShare: 0.3,
    unrunnableFailures: 3,
    taskLeaseMs: 20_000,
  },
  routing: {
    crossRegionPriceMs: 250,
    crossRegionMaxShare: 0.05,
    retryBudgetShare: 0.1,
    ejectionCapShare: 0.34,
    defaultDeadlineMs: 5000,
  },
  objectives: [],
});
