/**
 * The ledger: who held which accelerators, for how long and why.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Accelerator time of one hour of one cell under one heading. */
export const LedgerEntry = Schema.Struct({
  /** Empty where no customer holds the accelerators. */
  customerId: Schema.String,
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

/** One hour of one cell; the entries add up to the capacity. */
export const LedgerHour = Schema.Struct({
  cell: units.Id,
  /** Hours since the Unix epoch. */
  hour: units.Count,
  /** Up to where in the hour the entries reach. */
  bookedUntilMs: units.Count,
  /** Capacity times the time booked. */
  capacityAcceleratorMs: units.Count,
  entries: Schema.Array(LedgerEntry),
});

/** See {@link LedgerHour}. */
export type LedgerHour = typeof LedgerHour.Type;

/** Milliseconds of an hour. */
export const HOUR_MS = 3_600_000;
