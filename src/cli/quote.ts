/**
 * Limits how much of the input an error message repeats.
 */

/** Enough to recognize the input; a log or a document passed as an argument must not flood the terminal. */
const MAX_QUOTED_CHARACTERS = 200;

/** Matches text without white space that is longer than the limit. */
const LONG_WORD = new RegExp(`\\S{${MAX_QUOTED_CHARACTERS + 1},}`, 'g');

/**
 * @param text - a part of the input
 * @returns at most its first 200 characters, with an ellipsis if it was longer
 */
export const truncateInput = (text: string): string =>
  text.length <= MAX_QUOTED_CHARACTERS ? text : `${text.slice(0, MAX_QUOTED_CHARACTERS)}…`;

/**
 * @param message - an error message of the client or of an entry
 * @param given - arguments and flag values that it may repeat
 * @returns the message with these and any other long word truncated
 */
export const truncateWithin = (message: string, given: readonly string[]): string =>
  given
    .filter((it) => it.length > MAX_QUOTED_CHARACTERS)
    .reduce((text, it) => text.replaceAll(it, () => truncateInput(it)), message)
    .replace(LONG_WORD, truncateInput);
