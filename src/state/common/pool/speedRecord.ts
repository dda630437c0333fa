/**
 * What a leader has learnt of a worker's speed, as its agent keeps it for the next leader.
 */
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';

import * as units from '../units.js';

/** Version of the record's form; a record of another one is left out. */
const VERSION = 1;

/** Longest record that an agent keeps. */
export const MAX_RECORD_LENGTH = 300;

/** Speed of one incarnation of a worker. */
export const SpeedRecord = Schema.Struct({
  version: Schema.Literal(VERSION),
  workerId: Schema.String,
  incarnationMs: units.Count,
  /** Time of a task relative to a worker of mean speed. */
  factor: units.numberBetween(0.01, 100),
  /** Variance of the factor's logarithm. */
  variance: units.numberBetween(1e-4, 10),
  /** Whether the leader placed work by it: the workers of the pool certainly differed. */
  isApplied: Schema.Boolean,
});

/** See {@link SpeedRecord}. */
export type SpeedRecord = typeof SpeedRecord.Type;

const SpeedRecordText = Schema.fromJsonString(SpeedRecord);

/**
 * @param record - a worker's speed
 * @returns the record as its agent keeps it
 */
export const encodeSpeed = (record: Omit<SpeedRecord, 'version'>): string =>
  JSON.stringify({ version: VERSION, ...record } satisfies SpeedRecord);

/**
 * @param text - a record as an agent has kept it
 * @returns the record, or undefined if it can't be read or is of another version
 */
export const decodeSpeed = (text: string): SpeedRecord | undefined =>
  Option.getOrUndefined(Schema.decodeUnknownOption(SpeedRecordText)(text));
