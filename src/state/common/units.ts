/**
 * Schemas of the basic values in documents and messages, with their limits.
 */
import * as Schema from 'effect/Schema';

const ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Id of a customer, cell, worker, process or similar. */
export const Id = Schema.String.check(
  Schema.isPattern(ID_PATTERN, {
    expected: '1 to 63 lower-case letters, digits, dots, dashes or underscores',
  }),
);

/** Key that a caller assigns to a request or job; printable ASCII without spaces. */
export const CallerKey = Schema.String.check(
  Schema.isPattern(/^[\x21-\x7e]{1,128}$/, {
    expected: '1 to 128 printable ASCII characters without spaces',
  }),
);

/** Address at which a process listens. */
export const Url = Schema.String.check(
  Schema.isPattern(/^http:\/\/([A-Za-z0-9.-]+|\[[0-9a-f:]+\]):\d{1,5}$/, {
    expected: 'http://host:port',
  }),
);

/**
 * @param minimum - inclusive
 * @param maximum - inclusive
 * @returns the schema of an integer within the bounds
 */
export const integerBetween = (minimum: number, maximum: number) =>
  Schema.Number.check(
    Schema.makeFilter(
      (value: number) => Number.isInteger(value) && value >= minimum && value <= maximum,
      {
        expected: `an integer from ${minimum} to ${maximum}`,
      },
    ),
  );

/**
 * @param minimum - inclusive
 * @param maximum - inclusive
 * @returns the schema of a number within the bounds
 */
export const numberBetween = (minimum: number, maximum: number) =>
  Schema.Number.check(
    Schema.makeFilter((value: number) => value >= minimum && value <= maximum, {
      expected: `a number from ${minimum} to ${maximum}`,
    }),
  );

const YEAR_MS = 31_622_400_000;

/** A duration in milliseconds of up to a year. */
export const DurationMs = integerBetween(0, YEAR_MS);

/** A count, version, epoch or time stamp. */
export const Count = integerBetween(0, Number.MAX_SAFE_INTEGER);

/** A fraction from 0 to 1. */
export const Share = numberBetween(0, 1);

/** Text for display. */
export const ShortText = Schema.String.check(Schema.isMaxLength(400));
