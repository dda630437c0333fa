/**
 * Records under the live prefix: who leads which cell, and which processes there are.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Leadership of a cell. The epoch only grows. */
export const LeaderRecord = Schema.Struct({
  cell: units.Id,
  epoch: units.Count,
  leaderId: units.Id,
  url: units.Url,
  /** Chosen by the writer, so that a lost answer is settled by reading back. */
  writeId: units.CallerKey,
});

/** See {@link LeaderRecord}. */
export type LeaderRecord = typeof LeaderRecord.Type;

/** A process that others must find. */
export const ProcessRecord = Schema.Struct({
  processId: units.Id,
  role: Schema.Literals(['entry', 'scheduler']),
  region: units.Id,
  zone: units.Id,
  /** Where it answers other processes. */
  url: units.Url,
});

/** See {@link ProcessRecord}. */
export type ProcessRecord = typeof ProcessRecord.Type;
