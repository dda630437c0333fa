/**
 * Decodes documents that people write. A document that is none at all gets an answer that can still be read.
 */
import type * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import * as schemaIssues from '../base/common/schemaIssues.js';

import * as quote from './quote.js';

/** As many as are mended in one go. */
const MAX_ISSUES = 10;

/**
 * @param schema - what is expected
 * @param input - what was written
 * @param what - its name for the message
 * @returns the typed value
 * @throws AuburnliftError `invalidRequest` naming the first offending fields, the same in its facts
 */
export const decodeOrFail = <T>(
  schema: Schema.Codec<T, unknown, never, never>,
  input: unknown,
  what: string,
): T => {
  const decoded = schemaIssues.decode(schema, input);
  if (decoded.isValid) return decoded.value;
  const issues = decoded.issues.slice(0, MAX_ISSUES).map(({ field, message }) => ({
    field: quote.quote(field),
    message: quote.quote(message),
  }));
  const more = decoded.issues.length - issues.length;
  const texts = issues.map((it) => `${it.field}: ${it.message}`);
  const text = [...texts, ...(more === 0 ? [] : [`and ${more} more`])].join('; ');
  throw errors.fail('invalidRequest', `${what} refused, nothing ran: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues },
  });
};
