/**
 * The ledger: which customer and job held accelerators, for how long and why.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Accelerator time in one hour of one cell, for one combination of the other fields. */
export const LedgerEntry = Schema.Struct({
  /** Empty if no customer holds the accelerators. */
  customerId: Schema.String,
  /** Empty if no job does; {@link FOLDED_JOB} if the hour had too many distinct entries. */
  jobId: Schema.String,
  attempt: units.Count,
  reason: Schema.Literals([
    'guarantee',
    'spare',
    'reclaimGrace',
    'lostToFailure',
    'quarantined',
    'idle',
    'unreachable',
  ]),
  /** The spare rule, if the accelerators were borrowed under one. */
  ruleId: Schema.String,
  configVersion: units.Count,
  /** An integer, so that sums are exact. */
  acceleratorMs: units.Count,
});

/** See {@link LedgerEntry}. */
export type LedgerEntry = typeof LedgerEntry.Type;

/** How long a cell had a given capacity; counted independently of the entries to verify them. */
export const CapacityTime = Schema.Struct({
  accelerators: units.Count,
  durationMs: units.Count,
});

/** See {@link CapacityTime}. */
export type CapacityTime = typeof CapacityTime.Type;

/** One hour of one cell; the entries add up to `capacityAcceleratorMs`. */
export const LedgerHour = Schema.Struct({
  cell: units.Id,
  /** Hours since the Unix epoch. */
  hour: units.Count,
  /** Epoch of the leader that wrote it last; a leader with a lower epoch must not write it. */
  epoch: units.Count,
  /** Start of the recorded time: the hour's start, except for a cell's very first hour. */
  bookedFromMs: units.Count,
  /** End of the recorded time. */
  bookedUntilMs: units.Count,
  capacities: Schema.Array(CapacityTime),
  /** Sum of capacity times duration over the recorded time. */
  capacityAcceleratorMs: units.Count,
  /** Time for which two jobs claimed the same accelerator; anything but 0 is a defect. */
  conflictingAcceleratorMs: units.Count,
  entries: Schema.Array(LedgerEntry),
});

/** See {@link LedgerHour}. */
export type LedgerHour = typeof LedgerHour.Type;

/** Job id of the entry that combines a customer's remaining jobs in an hour with too many entries. */
export const FOLDED_JOB = '(folded)';

/** Milliseconds of an hour. */
export const HOUR_MS = 3_600_000;

/** Hours of a day; old hours are rolled up into days. */
export const HOURS_PER_DAY = 24;

/** One day of one cell, rolled up from its hours when they are old. */
export const LedgerDay = Schema.Struct({
  cell: units.Id,
  /** Days since the Unix epoch. */
  day: units.Count,
  epoch: units.Count,
  /** The hours rolled up, without their entries, so that each can still be verified. */
  hours: Schema.Array(
    Schema.Struct({
      hour: units.Count,
      bookedFromMs: units.Count,
      bookedUntilMs: units.Count,
      capacityAcceleratorMs: units.Count,
      conflictingAcceleratorMs: units.Count,
    }),
  ),
  entries: Schema.Array(LedgerEntry),
});

/** See {@link LedgerDay}. */
export type LedgerDay = typeof LedgerDay.Type;
