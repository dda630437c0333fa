/**
 * How much of what was given an error says again.
 */

/** Enough to know the place by; a log or a document that stands where a word should does not flood the terminal. */
const MAX_QUOTED_CHARACTERS = 200;

/**
 * @param text - what was given
 * @returns at most its first 200 characters, with a sign where it went on
 */
export const quote = (text: string): string =>
  text.length <= MAX_QUOTED_CHARACTERS ? text : `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`;
