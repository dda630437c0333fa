/**
 * Schema decoding in which every issue names its field and the expected value.
 */
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';

import * as errors from './errors.js';

/** One issue of one field. */
export interface FieldIssue {
  readonly path: readonly (string | number)[];
  /** The path in display form, `shapes[2].count`. */
  readonly field: string;
  readonly message: string;
}

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

/**
 * @param path - keys and indexes from the root
 * @returns the path in display form; the root is `(document)`
 */
export const formatPath = (path: readonly (string | number)[]): string => {
  const text = path
    .map((key) => (typeof key === 'number' ? `[${key}]` : `.${key}`))
    .join('')
    .replace(/^\./, '');
  return text === '' ? '(document)' : text;
};

const keyOf = (segment: unknown): string | number => {
  const key =
    typeof segment === 'object' && segment !== null && 'key' in segment ? segment.key : segment;
  return typeof key === 'number' ? key : String(key);
};

/** A decoded value, or all issues found in the input. */
export type Decoded<T> =
  | { readonly isValid: true; readonly value: T }
  | { readonly isValid: false; readonly issues: readonly FieldIssue[] };

/** Handling of fields that are not in the schema; an external system may add some at any time. */
export const Excess = { refuse: 'error', ignore: 'ignore' } as const;

/** Issues that an error tells of; a large document may have one for each of its fields. */
const MAX_REPORTED_ISSUES = 20;

/** One of the values of {@link Excess}. */
export type Excess = (typeof Excess)[keyof typeof Excess];

/**
 * @param schema - expected schema
 * @param input - untrusted input
 * @param excess - handling of fields that are not in the schema
 * @returns the typed value, or every issue
 */
export const decode = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  input: unknown,
  excess: Excess = Excess.refuse,
): Decoded<T> => {
  const exit = Schema.decodeUnknownResult(schema)(input, {
    onExcessProperty: excess,
    errors: 'all',
  });
  if (exit._tag === 'Success') return { isValid: true, value: exit.success };
  const { issue } = exit.failure as unknown as { issue: SchemaIssue.Issue };
  const issues = formatIssue(issue).issues.map((it) => {
    const path = (it.path ?? []).map(keyOf);
    return { path, field: formatPath(path), message: it.message };
  });
  return { isValid: false, issues };
};

/**
 * @param schema - expected schema
 * @param input - untrusted input
 * @param what - name of the input for the message
 * @param excess - handling of fields that are not in the schema
 * @returns the typed value
 * @throws AuburnliftError `invalidRequest` naming the first invalid field, with all issues in its facts
 */
export const decodeOrFail = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  input: unknown,
  what: string,
  excess: Excess = Excess.refuse,
): T => {
  const decoded = decode(schema, input, excess);
  if (decoded.isValid) return decoded.value;
  const issues = decoded.issues.slice(0, MAX_REPORTED_ISSUES);
  const text = issues.map((it) => `${it.field}: ${it.message}`).join('; ');
  throw errors.fail('invalidRequest', `${what} refused, nothing ran: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues: issues.map(({ field, message }) => ({ field, message })) },
  });
};
