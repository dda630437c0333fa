/**
 * Runs the client: parses the command line, runs the command and sets the exit status.
 */
import * as oclif from '@oclif/core';

import * as quote from './quote.js';

/** Resolves when pending output was flushed or failed. */
const flushed = (stream: NodeJS.WriteStream): Promise<void> =>
  new Promise((resolve) => {
    stream.write('', () => resolve());
  });

/** Exits with success when the reader closes the pipe, as `head` does. */
const exitOnClosedPipe = (): void => {
  process.stdout.on('error', (thrown: NodeJS.ErrnoException) => {
    if (thrown.code === 'EPIPE') process.exit(0);
  });
};

/** The end of oclif's error message for a wrong command line. */
const HELP_HINT = '\nSee more help with --help';

/** Truncates oclif's message, which repeats the wrong argument, but keeps its short hint. */
const quoteMessage = (thrown: unknown): Error => {
  const error = thrown instanceof Error ? thrown : new Error(String(thrown));
  const [message = '', ...rest] = error.message.split(HELP_HINT);
  error.message = quote.truncateInput(message) + (rest.length === 0 ? '' : HELP_HINT);
  return error;
};

/**
 * @param moduleUrl - URL of the program's module, from which oclif finds the package and its commands
 */
export const runProgram = async (moduleUrl: string): Promise<void> => {
  exitOnClosedPipe();
  try {
    await oclif.run(process.argv.slice(2), moduleUrl);
  } catch (thrown) {
    // Exiting the process would drop output that a slow reader has not read yet.
    await Promise.all([flushed(process.stdout), flushed(process.stderr)]);
    await oclif.Errors.handle(quoteMessage(thrown));
  }
};
