/**
 * What entry and agent add to a direct call, on loopback and in one process.
 */
/**
 * @param print - prints a line
 */
export const measureLoopback = async (print: (line: string) => void): Promise<void> => {
  print('not measured yet');
  await Promise.resolve();
};
