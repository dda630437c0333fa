/**
 * The record by which an agent is found.
 */

/**
 * @param text - value of the record
 * @returns where the agent listens; undefined where the record can't be read
 */
export const parseAgentUrl = (text: string): string | undefined => {
  try {
    const { url } = JSON.parse(text) as { readonly url?: unknown };
    return typeof url === 'string' ? url : undefined;
  } catch {
    return undefined;
  }
};
