/**
 * Encoding of the store record that holds the address of a process.
 */

/**
 * @param url - URL on which the process listens
 * @returns the value of its record
 */
export const formatAddressRecord = (url: string): string => JSON.stringify({ url });

/**
 * @param text - the value of a record
 * @returns the URL; undefined where the record can't be parsed
 */
export const parseAddressRecord = (text: string): string | undefined => {
  try {
    const { url } = JSON.parse(text) as { readonly url?: unknown };
    return typeof url === 'string' ? url : undefined;
  } catch {
    return undefined;
  }
};
