/**
 * tRPC as the system's processes use it: inputs decoded by the message schemas, errors carried as
 * bodies of the closed list of kinds.
 */
import * as trpc from '@trpc/server';
import * as Schema from 'effect/Schema';

import * as errors from '../../base/common/errors.js';

const instance = trpc.initTRPC.create({
  errorFormatter: ({ shape, error }) => {
    const isInput = error.code === 'BAD_REQUEST';
    const known = isInput
      ? errors.fail('invalidRequest', error.message)
      : errors.normalize(error.cause ?? error);
    return { ...shape, data: { ...shape.data, body: errors.toBody(known) } };
  },
});

/** Makes the router of a role. */
export const { router } = instance;

/**
 * @param schema - what the procedure takes
 * @param handle - the procedure
 * @returns a procedure that refuses inputs that don't fit; all are sent as POST, since an input in
 *   a URL would end up in logs
 */
export const procedure = <TInput, TOutput>(
  schema: Schema.Codec<TInput, unknown, never, never>,
  handle: (input: TInput) => Promise<TOutput>,
) =>
  instance.procedure
    .input(Schema.toStandardSchemaV1(schema, { parseOptions: { onExcessProperty: 'ignore' } }))
    .mutation(({ input }) => handle(input as TInput));
