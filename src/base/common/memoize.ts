/**
 * Computes a function once for each key.
 */

/**
 * @param compute - computes the value of a key; not called again for it unless the value is undefined
 * @returns the same function, which remembers its values for as long as it is referenced
 */
export const memoize = <K, V>(compute: (key: K) => V): ((key: K) => V) => {
  const known = new Map<K, V>();
  return (key) => {
    const found = known.get(key);
    if (found !== undefined) return found;
    const value = compute(key);
    known.set(key, value);
    return value;
  };
};
