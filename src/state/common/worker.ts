/**
 * Workers of a cell and their accelerators.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** A worker's location and capacity, as registered by its agent. */
export const WorkerInfo = Schema.Struct({
  workerId: units.Id,
  /** Availability zone; the cell of the same name schedules the worker. */
  zone: units.Id,
  region: units.Id,
  rack: units.Id,
  accelerators: units.integerBetween(0, 64),
  cores: units.integerBetween(1, 4096),
  memoryBytes: units.Count,
  /** Address of the worker's agent. */
  agentUrl: units.Url,
});

/** See {@link WorkerInfo}. */
export type WorkerInfo = typeof WorkerInfo.Type;

/** Whether a worker may receive tasks. */
export const WorkerHealth = {
  ready: 'ready',
  /** Its agent does not answer; its tasks count as running until their leases have expired. */
  unreachable: 'unreachable',
  /** Tasks failed on it repeatedly; only probes are placed there. */
  quarantined: 'quarantined',
  /** It announced that it is leaving the pool. */
  leaving: 'leaving',
} as const;

/** One of the values of {@link WorkerHealth}. */
export type WorkerHealth = (typeof WorkerHealth)[keyof typeof WorkerHealth];
