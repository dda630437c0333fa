/**
 * How much of what was given an error says again.
 */

/** Enough to know the place by; a log or a document that stands where a word should does not flood the terminal. */
const MAX_QUOTED_CHARACTERS = 200;

/** A text without a blank that is longer than what is quoted. */
const LONG_WORD = new RegExp(`\\S{${MAX_QUOTED_CHARACTERS + 1},}`, 'g');

/**
 * @param text - what was given
 * @returns at most its first 200 characters, with a sign where it went on
 */
export const quote = (text: string): string =>
  text.length <= MAX_QUOTED_CHARACTERS ? text : `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`;

/**
 * @param message - an error's message, by us or by an entry
 * @param given - words and values of the command line that it may say again
 * @returns the message with these, and any word, quoted
 */
export const quoteWithin = (message: string, given: readonly string[]): string =>
  given
    .filter((it) => it.length > MAX_QUOTED_CHARACTERS)
    .reduce((text, it) => text.replaceAll(it, () => quote(it)), message)
    .replace(LONG_WORD, quote);
