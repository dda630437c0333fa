/**
 * A small valid configuration document for tests.
 */
import type * as configuration from '../configuration.js';

/** Two customers and two cells with three racks in total; each worker has eight accelerators. */
export const SAMPLE: configuration.ConfigurationDocument = {
  customers: [
    {
      customerId: 'red',
      name: 'Red',
      requestWeight: 1,
      guaranteedSlots: 2,
      quotaAccelerators: 32,
    },
    {
      customerId: 'blue',
      name: 'Blue',
      requestWeight: 1,
      guaranteedSlots: 1,
      quotaAccelerators: 32,
    },
  ],
  shapes: [
    {
      shapeId: 'red-plan',
      customerId: 'red',
      cell: 'north',
      accelerators: 8,
      adjacency: 'worker',
      count: 1,
    },
  ],
  rules: [
    {
      ruleId: 'all',
      customerIds: ['red', 'blue'],
      cells: [],
      weight: 1,
      maxAccelerators: 8,
      throttleFirst: false,
    },
  ],
  cells: [
    { cell: 'north', region: 'up', workers: 4, acceleratorsPerWorker: 8, workersPerRack: 3 },
    { cell: 'south', region: 'down', workers: 2, acceleratorsPerWorker: 8, workersPerRack: 2 },
  ],
  placement: {
    completionWeight: 0.5,
    reclaimGraceMs: 1000,
    largeJobAccelerators: 16,
    largeJobWaitMs: 600_000,
    quarantineFailures: 3,
    quarantineCapShare: 0.25,
    unrunnableFailures: 3,
    taskLeaseMs: 15_000,
  },
  routing: {
    crossRegionPriceMs: 250,
    crossRegionMaxShare: 0.05,
    retryBudgetShare: 0.1,
    ejectionCapShare: 0.34,
    defaultDeadlineMs: 30_000,
    slotsPerUpstream: 8,
  },
  objectives: [
    {
      objectiveId: 'red-start',
      customerId: 'red',
      kind: 'startWithin',
      thresholdMs: 3400,
      target: 0.99,
      windowMs: 2_592_000_000,
    },
  ],
};
