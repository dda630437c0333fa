/**
 * Limits how many calls are open at the same time; the others wait in their order.
 */

/** Runs calls under a common limit. */
export interface CallLimit {
  /**
   * @param call - begins once fewer calls than the limit are open
   * @returns its result
   */
  readonly run: <T>(call: () => Promise<T>) => Promise<T>;
}

/**
 * @param maxOpen - maximum number of open calls
 * @returns a limit under which no call is open
 */
export const createCallLimit = (maxOpen: number): CallLimit => {
  const waiting: (() => void)[] = [];
  let open = 0;

  const enter = (): Promise<void> | undefined => {
    if (open < maxOpen) {
      open += 1;
      return undefined;
    }
    return new Promise((resolve) => {
      waiting.push(resolve);
    });
  };
  const leave = (): void => {
    const next = waiting.shift();
    if (next === undefined) open -= 1;
    else next();
  };

  return {
    run: async (call) => {
      await enter();
      try {
        return await call();
      } finally {
        leave();
      }
    },
  };
};
