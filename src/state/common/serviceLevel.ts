/**
 * Counts of good and bad events against service-level objectives, as processes keep them.
 */
import * as Schema from 'effect/Schema';

import * as units from './units.js';

/** Length of the shortest time that is counted apart. */
export const BUCKET_MS = 300_000;

/** Buckets of an hour. */
export const BUCKETS_PER_HOUR = 12;

/** Hours for which counts are kept: three days, and the hour that is running. */
export const KEPT_HOURS = 73;

const Buckets = Schema.Array(units.Count).check(
  Schema.isMinLength(BUCKETS_PER_HOUR),
  Schema.isMaxLength(BUCKETS_PER_HOUR),
);

/** What one objective counted in an hour, by bucket. */
export const ObjectiveHour = Schema.Struct({
  objectiveId: units.Id,
  good: Buckets,
  bad: Buckets,
});

/** See {@link ObjectiveHour}. */
export type ObjectiveHour = typeof ObjectiveHour.Type;

/** What one run of one process counted in an hour. It is the only writer of the record. */
export const ServiceLevelHour = Schema.Struct({
  hour: units.Count,
  objectives: Schema.Array(ObjectiveHour),
});

/** See {@link ServiceLevelHour}. */
export type ServiceLevelHour = typeof ServiceLevelHour.Type;
