/**
 * tRPC setup shared by all processes: inputs are decoded by the message schemas, errors are sent as
 * error bodies with a kind from the closed list.
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

/** Creates the router of a process role. */
export const { router } = instance;

/**
 * @param schema - schema of the input
 * @param handle - handler
 * @returns a procedure that rejects invalid inputs; always a mutation, which is sent as POST, since
 *   an input in a URL would end up in logs
 */
export const procedure = <TInput, TOutput>(
  schema: Schema.Codec<TInput, unknown, never, never>,
  handle: (input: TInput) => Promise<TOutput>,
) =>
  instance.procedure
    .input(Schema.toStandardSchemaV1(schema, { parseOptions: { onExcessProperty: 'ignore' } }))
    .mutation(({ input }) => handle(input as TInput));
