/**
 * Counts of good and bad events per service-level objective, as processes store them.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Length of one bucket, the finest resolution of the counts. */
export const BUCKET_MS = 300_000;

/** Buckets of an hour. */
export const BUCKETS_PER_HOUR = 12;

/** Hours for which counts are retained: three days, and the current hour. */
export const RETAINED_HOURS = 73;

const Buckets = Schema.Array(units.Count).check(
  Schema.isMinLength(BUCKETS_PER_HOUR),
  Schema.isMaxLength(BUCKETS_PER_HOUR),
);

/** Counts of one objective in an hour, by bucket. */
export const ObjectiveHour = Schema.Struct({
  objectiveId: units.Id,
  good: Buckets,
  bad: Buckets,
});

/** See {@link ObjectiveHour}. */
export type ObjectiveHour = typeof ObjectiveHour.Type;

/** Counts of one incarnation of one process in an hour. It is the only writer of the record. */
export const ServiceLevelHour = Schema.Struct({
  hour: units.Count,
  objectives: Schema.Array(ObjectiveHour),
});

/** See {@link ServiceLevelHour}. */
export type ServiceLevelHour = typeof ServiceLevelHour.Type;
