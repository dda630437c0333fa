/**
 * Client of the policy service, which has a single call.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../base/common/errors.js';
import type * as http from '../base/common/http.js';
import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as ticketCache from '../coordination/node/pool/ticketCache.js';

/** Options of the client. */
export interface AdviceClientOptions {
  /** Address of the policy service; undefined if none is configured. */
  readonly address: () => http.Address | undefined;
  readonly call: http.HttpCall;
}

const Reply = Schema.Struct({
  /** Pairs of a worker's id and the ticket for it. */
  allowed: Schema.optionalKey(Schema.Array(Schema.Tuple([Schema.String, Schema.String]))),
  valid_ms: Schema.optionalKey(Schema.Number),
});

/** Validity of tickets if the reply does not specify it. */
const DEFAULT_VALID_MS = 1000;

const OK = 200;

/**
 * @param options - options of the client
 * @returns a function that asks the service which workers may run a step
 */
export const createAdviceClient =
  (options: AdviceClientOptions): ticketCache.TicketCacheOptions['ask'] =>
  async (stepKey, workerIds, timeoutMs) => {
    const address = options.address();
    if (address === undefined) {
      throw errors.fail('notFound', 'no policy service is configured', { field: 'hint' });
    }
    const reply = await options.call({
      address,
      method: 'POST',
      path: '/-/advise',
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ step: stepKey, workers: workerIds })),
      timeoutMs,
    });
    if (reply.status !== OK) {
      throw errors.fail('overloaded', `the policy service answered with status ${reply.status}`);
    }
    const parsed = JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown;
    const { allowed = [], valid_ms: validMs = DEFAULT_VALID_MS } = schemaIssues.decodeOrFail(
      Reply,
      parsed,
      'the advice reply',
      schemaIssues.Excess.ignore,
    );
    return { ticketsByWorker: new Map(allowed), validMs };
  };
