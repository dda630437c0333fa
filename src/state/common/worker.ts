/**
 * Workers as a cell knows them, and the accelerators they hold.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** A worker's place and capacity, as its agent registers it. */
export const WorkerInfo = Schema.Struct({
  workerId: units.Id,
  /** Availability zone; the cell of the same name schedules the worker. */
  zone: units.Id,
  region: units.Id,
  rack: units.Id,
  accelerators: units.integerBetween(0, 64),
  cores: units.integerBetween(1, 4096),
  memoryBytes: units.Count,
  /** Where the worker's agent listens. */
  agentUrl: units.Url,
});

/** See {@link WorkerInfo}. */
export type WorkerInfo = typeof WorkerInfo.Type;

/** Whether a worker may be given work. */
export const WorkerHealth = {
  ready: 'ready',
  /** Its agent does not answer; its tasks count as running until their leases have lapsed. */
  unreachable: 'unreachable',
  /** Tasks failed on it again and again; only probes are placed there. */
  quarantined: 'quarantined',
  /** It announced that it leaves. */
  leaving: 'leaving',
} as const;

/** One of the values of {@link WorkerHealth}. */
export type WorkerHealth = (typeof WorkerHealth)[keyof typeof WorkerHealth];
