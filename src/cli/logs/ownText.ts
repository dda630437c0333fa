/**
 * Texts that are kept from a larger one.
 */

/**
 * A part of a text keeps the whole in memory: a job's id, some 16 characters, the 32 kB of its block.
 *
 * @param text - part of a larger text
 * @returns the same text by itself
 */
export const ownText = (text: string): string => Buffer.from(text, 'utf8').toString('utf8');
