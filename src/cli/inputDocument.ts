/**
 * Decodes documents that people write. The error stays readable even if the input is no such document at all.
 */
import type * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';

import * as quote from './quote.js';

/** Maximum number of issues in an error: as many as are fixed in one edit. */
const MAX_ISSUES = 10;

/**
 * @param schema - the expected schema
 * @param input - the parsed input
 * @param what - name of the input in the message
 * @returns the typed value
 * @throws AuburnliftError `invalidRequest` naming the first invalid fields, which are also in its facts
 */
export const decodeOrFail = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  input: unknown,
  what: string,
): T => {
  const decoded = schemaIssues.decode(schema, input);
  if (decoded.isValid) return decoded.value;
  const issues = decoded.issues.slice(0, MAX_ISSUES).map(({ field, message }) => ({
    field: quote.truncateInput(field),
    message: quote.truncateInput(message),
  }));
  const more = decoded.issues.length - issues.length;
  const texts = issues.map((it) => `${it.field}: ${it.message}`);
  const text = [...texts, ...(more === 0 ? [] : [`and ${more} more`])].join('; ');
  throw errors.fail('invalidRequest', `${what} refused, nothing ran: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues },
  });
};
