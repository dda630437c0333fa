/**
 * The configuration document: customers, the shapes they hold, the rules for spare capacity,
 * placement, routing and service-level objectives. It is the only source of active configuration.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** How close together a job's accelerators must be. */
export const Adjacency = { worker: 'worker', rack: 'rack', zone: 'zone' } as const;

/** One of the values of {@link Adjacency}. */
export type Adjacency = (typeof Adjacency)[keyof typeof Adjacency];

/** Schema of {@link Adjacency}. */
export const AdjacencySchema = Schema.Literals(['worker', 'rack', 'zone']);

/** A customer: a team or tenant that holds guarantees or borrows. */
export const Customer = Schema.Struct({
  customerId: units.Id,
  name: units.ShortText,
  /** Weight of the customer's requests against those of other customers under load. */
  requestWeight: units.numberBetween(0.01, 1000),
  /** Slots of each upstream that are always available to the customer's requests. */
  guaranteedSlots: units.integerBetween(0, 1024),
  /** Maximum number of accelerators that all its jobs may hold in total, over all cells. */
  quotaAccelerators: units.integerBetween(0, 100_000),
});

/** See {@link Customer}. */
export type Customer = typeof Customer.Type;

/** A guaranteed shape: adjacent accelerators that a customer can always reclaim in a cell. */
export const Shape = Schema.Struct({
  shapeId: units.Id,
  customerId: units.Id,
  cell: units.Id,
  /** Accelerators in one instance of the shape. */
  accelerators: units.integerBetween(1, 4096),
  adjacency: AdjacencySchema,
  /** How many instances the customer holds. */
  count: units.integerBetween(1, 1000),
});

/** See {@link Shape}. */
export type Shape = typeof Shape.Type;

/** A rule that lets customers borrow spare accelerators. */
export const SpareRule = Schema.Struct({
  ruleId: units.Id,
  customerIds: Schema.Array(units.Id),
  /** Cells in which the rule applies; empty means all. */
  cells: Schema.Array(units.Id),
  /** Weight against the other borrowers in a cell. */
  weight: units.numberBetween(0.01, 1000),
  /** Maximum number of accelerators that one customer may borrow under the rule in one cell. */
  maxAccelerators: units.integerBetween(1, 100_000),
  /** Whether a borrowed job is throttled before it is stopped. */
  throttleFirst: Schema.Boolean,
});

/** See {@link SpareRule}. */
export type SpareRule = typeof SpareRule.Type;

/** A cell: one availability zone with the capacity that operators expect in it. */
export const Cell = Schema.Struct({
  cell: units.Id,
  region: units.Id,
  workers: units.integerBetween(0, 10_000),
  acceleratorsPerWorker: units.integerBetween(0, 64),
  workersPerRack: units.integerBetween(1, 1000),
});

/** See {@link Cell}. */
export type Cell = typeof Cell.Type;

/** Limits and weights of job placement. */
export const PlacementPolicy = Schema.Struct({
  /** Weight of completion time against fragmentation, 0 to 1. */
  completionWeight: units.Share,
  /** Time allowed for a reclaimed job to checkpoint. */
  reclaimGraceMs: units.integerBetween(0, 600_000),
  /** Jobs with at least this many accelerators get a reservation after `largeJobWaitMs`. */
  largeJobAccelerators: units.integerBetween(1, 4096),
  /** Waiting time after which a large job gets a reservation. */
  largeJobWaitMs: units.DurationMs,
  /** Distinct jobs that must fail on a worker before it is quarantined. */
  quarantineFailures: units.integerBetween(1, 100),
  /** Largest share of a cell's workers that may be quarantined at the same time. */
  quarantineCapShare: units.Share,
  /** Distinct healthy workers on which a job must fail before it becomes unrunnable. */
  unrunnableFailures: units.integerBetween(1, 100),
  /** Term of a task lease on a worker. */
  taskLeaseMs: units.integerBetween(1000, 3_600_000),
});

/** See {@link PlacementPolicy}. */
export type PlacementPolicy = typeof PlacementPolicy.Type;

/** Limits and prices of routing requests to upstreams. */
export const RoutingPolicy = Schema.Struct({
  /** Extra queueing delay that a request accepts before it is routed to another region. */
  crossRegionPriceMs: units.integerBetween(0, 600_000),
  /** Largest share of a region's requests that may be routed to another region. */
  crossRegionMaxShare: units.Share,
  /** Retries allowed per answered request. */
  retryBudgetShare: units.Share,
  /** Largest share of the upstreams that may be ejected as outliers at the same time. */
  ejectionCapShare: units.Share,
  /** Deadline of a request that does not specify one. */
  defaultDeadlineMs: units.integerBetween(1, 3_600_000),
  /** Slots that operators expect on each upstream; the sum of guaranteed slots must not exceed it. */
  slotsPerUpstream: Schema.optionalKey(units.integerBetween(1, 4096)),
});

/** See {@link RoutingPolicy}. */
export type RoutingPolicy = typeof RoutingPolicy.Type;

/** What an objective measures. */
export const ObjectiveKind = {
  /** Jobs that claim a guaranteed shape start within the threshold. */
  startWithin: 'startWithin',
  /** Requests are answered within the threshold. */
  answeredWithin: 'answeredWithin',
  /** Requests are not refused; the threshold is 0. */
  notRefused: 'notRefused',
} as const;

/** One of the values of {@link ObjectiveKind}. */
export type ObjectiveKind = (typeof ObjectiveKind)[keyof typeof ObjectiveKind];

/** A service-level objective of one customer. */
export const Objective = Schema.Struct({
  objectiveId: units.Id,
  customerId: units.Id,
  kind: Schema.Literals(['startWithin', 'answeredWithin', 'notRefused']),
  thresholdMs: units.DurationMs,
  /** Share of the events that must be good, below 1. */
  target: units.numberBetween(0.5, 0.99999),
  /** Period over which the target is evaluated. */
  windowMs: units.integerBetween(60_000, 7_776_000_000),
});

/** See {@link Objective}. */
export type Objective = typeof Objective.Type;

/** The document as operators write it. */
export const ConfigurationDocument = Schema.Struct({
  customers: Schema.Array(Customer),
  shapes: Schema.Array(Shape),
  rules: Schema.Array(SpareRule),
  cells: Schema.Array(Cell),
  placement: PlacementPolicy,
  routing: RoutingPolicy,
  objectives: Schema.Array(Objective),
});

/** See {@link ConfigurationDocument}. */
export type ConfigurationDocument = typeof ConfigurationDocument.Type;

/** One version of the document as stored, with the fields needed for the audit. */
export const ConfigurationRecord = Schema.Struct({
  version: units.Count,
  /** Chosen by the writer, which reads it back to find out whether a write whose answer was lost took effect. */
  writeId: units.CallerKey,
  author: units.ShortText,
  reason: units.ShortText,
  writtenAtMs: units.Count,
  document: ConfigurationDocument,
});

/** See {@link ConfigurationRecord}. */
export type ConfigurationRecord = typeof ConfigurationRecord.Type;

/** Version of a process that has not received any configuration yet. */
export const NO_VERSION = 0;
