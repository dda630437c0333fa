/**
 * Lifecycle of a program: settings, start, a signal, a graceful shutdown.
 */
import * as Effect from 'effect/Effect';
import type * as Schema from 'effect/Schema';

import * as errorKinds from '../base/common/errorKinds.js';
import * as errors from '../base/common/errors.js';
import * as settingsFile from '../base/node/settingsFile.js';

import type * as processContext from './processContext.js';

const SETTINGS_FLAG = '--settings';

const settingsPath = (args: readonly string[]): string => {
  const path = args[args.indexOf(SETTINGS_FLAG) + 1];
  if (!args.includes(SETTINGS_FLAG) || path === undefined) {
    throw errors.fail('invalidRequest', `usage: ${SETTINGS_FLAG} FILE.jsonc`, {
      field: SETTINGS_FLAG,
    });
  }
  return path;
};

const waitForSignal = Effect.callback<void>((resume) => {
  const onSignal = (): void => resume(Effect.void);
  process.once('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
});

/**
 * Runs a program until SIGTERM or SIGINT, then shuts it down gracefully and exits.
 *
 * @param schema - schema of its settings
 * @param start - starts it
 */
export const runMain = async <TSettings>(
  schema: Schema.Codec<TSettings, unknown, never, never>,
  start: (settings: TSettings) => Promise<processContext.Program>,
): Promise<void> => {
  const lifecycle = Effect.gen(function* runUntilSignal() {
    const settings = settingsFile.readSettings(schema, settingsPath(process.argv));
    yield* Effect.acquireRelease(
      Effect.tryPromise({ try: () => start(settings), catch: errors.normalize }),
      (program) => Effect.promise(program.shutdown),
    );
    yield* waitForSignal;
  });
  try {
    await Effect.runPromise(Effect.scoped(lifecycle));
    process.exit(0);
  } catch (thrown) {
    const error = errors.normalize(thrown);
    process.stderr.write(`${error.message}\n`);
    process.exit(errorKinds.ERROR_TABLE[error.kind].exitCode);
  }
};
