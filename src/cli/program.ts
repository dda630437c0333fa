/**
 * Runs the client from its command line to its exit status.
 */
import * as oclif from '@oclif/core';

import * as quote from './quote.js';

/** Resolves when what was printed has left the process, or never will. */
const written = (stream: NodeJS.WriteStream): Promise<void> =>
  new Promise((resolve) => {
    stream.write('', () => resolve());
  });

/** A reader that has seen enough, like `head`, is no failure, and nobody is left to go on for. */
const endWithReader = (): void => {
  process.stdout.on('error', (thrown: NodeJS.ErrnoException) => {
    if (thrown.code === 'EPIPE') process.exit(0);
  });
};

/** Stands at the end of what oclif says of a wrong command line. */
const HELP_HINT = '\nSee more help with --help';

/** What oclif says of a wrong command line says the wrong word again; its own part is short. */
const quoteMessage = (thrown: unknown): Error => {
  const error = thrown instanceof Error ? thrown : new Error(String(thrown));
  const [said = '', ...rest] = error.message.split(HELP_HINT);
  error.message = quote.quote(said) + (rest.length === 0 ? '' : HELP_HINT);
  return error;
};

/**
 * @param moduleUrl - of the program, beside whose package oclif finds the commands
 */
export const runProgram = async (moduleUrl: string): Promise<void> => {
  endWithReader();
  try {
    await oclif.run(process.argv.slice(2), moduleUrl);
  } catch (thrown) {
    // Ending the process drops what a slow reader has not taken yet.
    await Promise.all([written(process.stdout), written(process.stderr)]);
    await oclif.Errors.handle(quoteMessage(thrown));
  }
};
