/**
 * Copies substrings that outlive the text they were taken from.
 */

/**
 * A substring keeps its whole source text in memory: a job id of some 16 characters retains a block of 32 kB.
 *
 * @param text - substring of a larger text
 * @returns a copy that does not refer to the larger text
 */
export const copySubstring = (text: string): string => Buffer.from(text, 'utf8').toString('utf8');
