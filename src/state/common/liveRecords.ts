/**
 * Records under the live prefix: the leader of each cell, and the running processes.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Leadership of a cell. The epoch only increases. */
export const LeaderRecord = Schema.Struct({
  cell: units.Id,
  epoch: units.Count,
  leaderId: units.Id,
  url: units.Url,
  /** Chosen by the writer, which reads it back to find out whether a write whose answer was lost took effect. */
  writeId: units.CallerKey,
});

/** See {@link LeaderRecord}. */
export type LeaderRecord = typeof LeaderRecord.Type;

/** A process that other processes discover. */
export const ProcessRecord = Schema.Struct({
  processId: units.Id,
  role: Schema.Literals(['entry', 'scheduler']),
  region: units.Id,
  zone: units.Id,
  /** Address for other processes. */
  url: units.Url,
});

/** See {@link ProcessRecord}. */
export type ProcessRecord = typeof ProcessRecord.Type;
