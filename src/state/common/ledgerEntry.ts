/**
 * The ledger: who held which accelerators, for how long and why.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Accelerator time of one hour of one cell under one heading. */
export const LedgerEntry = Schema.Struct({
  /** Empty where no customer holds the accelerators. */
  customerId: Schema.String,
  /** Empty where no job does, {@link FOLDED_JOB} where the hour had too many headings. */
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
  /** The spare rule, where the reason is one. */
  ruleId: Schema.String,
  configVersion: units.Count,
  /** Whole milliseconds, so that sums are exact. */
  acceleratorMs: units.Count,
});

/** See {@link LedgerEntry}. */
export type LedgerEntry = typeof LedgerEntry.Type;

/** How long a cell had so many accelerators, counted apart from the entries to check them by. */
export const CapacityTime = Schema.Struct({
  accelerators: units.Count,
  durationMs: units.Count,
});

/** See {@link CapacityTime}. */
export type CapacityTime = typeof CapacityTime.Type;

/** One hour of one cell; the entries add up to the capacity times the time. */
export const LedgerHour = Schema.Struct({
  cell: units.Id,
  /** Hours since the Unix epoch. */
  hour: units.Count,
  /** Epoch of the leader that wrote it last; a lower one may not write it any more. */
  epoch: units.Count,
  /** Where in the hour the booking began: the hour's start, but for a cell's very first hour. */
  bookedFromMs: units.Count,
  /** Up to where in the hour the entries reach. */
  bookedUntilMs: units.Count,
  capacities: Schema.Array(CapacityTime),
  /** Capacity times the time booked. */
  capacityAcceleratorMs: units.Count,
  /** Time for which two jobs claimed one accelerator; anything but 0 is a defect. */
  conflictingAcceleratorMs: units.Count,
  entries: Schema.Array(LedgerEntry),
});

/** See {@link LedgerHour}. */
export type LedgerHour = typeof LedgerHour.Type;

/** Job id of the heading that takes a customer's further jobs in an hour with too many. */
export const FOLDED_JOB = '(folded)';

/** Milliseconds of an hour. */
export const HOUR_MS = 3_600_000;

/** Hours of a day, which is what old hours are rolled up to. */
export const HOURS_PER_DAY = 24;

/** One day of one cell, made of its hours when they are old. */
export const LedgerDay = Schema.Struct({
  cell: units.Id,
  /** Days since the Unix epoch. */
  day: units.Count,
  epoch: units.Count,
  /** The hours that went into it, without their entries, so that the check still sees each. */
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
