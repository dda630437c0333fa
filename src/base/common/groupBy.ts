/**
 * Groups items by a key.
 */

/**
 * @param items - the items
 * @param keyOf - key of an item
 * @returns the items of each key in their order, by key in the order of first use
 */
export const groupBy = <T>(items: Iterable<T>, keyOf: (item: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
};
