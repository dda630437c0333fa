/**
 * Decoding with a schema so that every complaint names its field and what was expected.
 */
import * as Schema from 'effect/Schema';
import * as SchemaIssue from 'effect/SchemaIssue';

import * as errors from './errors.js';

/** One complaint about one field. */
export interface FieldIssue {
  readonly path: readonly (string | number)[];
  /** The path as people write it, `shapes[2].count`. */
  readonly field: string;
  readonly message: string;
}

const formatIssue = SchemaIssue.makeFormatterStandardSchemaV1();

/**
 * @param path - keys and indexes from the root
 * @returns the path as people write it; the root is `(document)`
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

/** A decoded value, or all complaints about it. */
export type Decoded<T> =
  | { readonly isValid: true; readonly value: T }
  | { readonly isValid: false; readonly issues: readonly FieldIssue[] };

/** What becomes of fields that a schema does not name: an outside system may add some at any time. */
export const Excess = { refuse: 'error', ignore: 'ignore' } as const;

/** One of the values of {@link Excess}. */
export type Excess = (typeof Excess)[keyof typeof Excess];

/**
 * @param schema - what is expected
 * @param input - what came from outside
 * @param excess - what becomes of fields that the schema does not name
 * @returns the typed value, or every complaint
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
 * @param schema - what is expected
 * @param input - what came from outside
 * @param what - the thing's name for the message
 * @param excess - what becomes of fields that the schema does not name
 * @returns the typed value
 * @throws AuburnliftError `invalidRequest` naming the first offending field, all in its facts
 */
export const decodeOrFail = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  input: unknown,
  what: string,
  excess: Excess = Excess.refuse,
): T => {
  const decoded = decode(schema, input, excess);
  if (decoded.isValid) return decoded.value;
  const { issues } = decoded;
  const text = issues.map((it) => `${it.field}: ${it.message}`).join('; ');
  throw errors.fail('invalidRequest', `${what} refused, nothing ran: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues: issues.map(({ field, message }) => ({ field, message })) },
  });
};
