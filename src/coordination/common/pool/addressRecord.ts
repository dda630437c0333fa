/**
 * The record by which a process is found.
 */

/**
 * @param url - where the process listens
 * @returns value of its record
 */
export const formatAddressRecord = (url: string): string => JSON.stringify({ url });

/**
 * @param text - value of a record
 * @returns where the process listens; undefined where the record can't be read
 */
export const parseAddressRecord = (text: string): string | undefined => {
  try {
    const { url } = JSON.parse(text) as { readonly url?: unknown };
    return typeof url === 'string' ? url : undefined;
  } catch {
    return undefined;
  }
};
