/**
 * What operators reach with a token: the configuration, cells, jobs and the ledger as JSON.
 */
import * as crypto from 'node:crypto';

import * as Schema from 'effect/Schema';

import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from '../../state/common/configuration.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';
import type * as settings from '../../state/common/settings.js';
import * as units from '../../state/common/units.js';
import type * as entrySchedulerMessages from '../../protocol/common/entrySchedulerMessages.js';
import type * as configurationStore from '../../coordination/node/configurationStore.js';
import * as httpServer from './httpServer.js';

/** What operators can do, as the entry does it. */
export interface OperatorGateway {
  readonly configuration: () => configuration.ConfigurationRecord | undefined;
  readonly writeConfiguration: (
    change: configurationStore.ConfigurationChange,
  ) => Promise<configuration.ConfigurationRecord>;
  readonly cells: () => Promise<readonly CellSummary[]>;
  readonly cell: (cell: string) => Promise<entrySchedulerMessages.CellReply>;
  readonly quarantine: (
    cell: string,
    workerId: string,
    isQuarantined: boolean,
    reason: string,
  ) => Promise<entrySchedulerMessages.CellReply>;
  readonly ledger: (cell: string) => Promise<readonly ledgerEntry.LedgerHour[]>;
}

/** One line of the list of cells. */
export interface CellSummary {
  readonly cell: string;
  readonly region: string;
  readonly leaderId: string;
  readonly epoch: number;
  readonly isLed: boolean;
}

/** A change as it is sent. */
export const ChangeBody = Schema.Struct({
  baseVersion: units.Count,
  writeId: units.CallerKey,
  reason: units.ShortText.check(Schema.isMinLength(1)),
  document: configuration.ConfigurationDocument,
});

const QuarantineBody = Schema.Struct({
  workerId: units.Id,
  isQuarantined: Schema.Boolean,
  reason: units.ShortText,
});

/** An operator who has shown a token. */
export interface Operator {
  readonly operatorId: string;
  readonly role: settings.OperatorToken['role'];
}

const HASH_BYTES = 32;

const hashOf = (token: string, saltHex: string): Buffer =>
  crypto.scryptSync(token, Buffer.from(saltHex, 'hex'), HASH_BYTES);

/**
 * @param tokens - known tokens, hashed
 * @returns a function that gives the operator of a bearer header; scrypt is slow on purpose, so
 *   tokens that were right once are remembered by a plain hash
 */
export const createAuthenticator = (
  tokens: readonly settings.OperatorToken[],
): ((header: string | undefined) => Operator) => {
  const seen = new Map<string, Operator>();
  return (header) => {
    const token = /^Bearer (\S{8,256})$/.exec(header ?? '')?.[1];
    if (token === undefined) {
      throw errors.fail('unauthenticated', 'send your token as Authorization: Bearer TOKEN');
    }
    const digest = crypto.createHash('sha256').update(token).digest('hex');
    const known = seen.get(digest);
    if (known !== undefined) return known;
    const match = tokens.find((it) =>
      crypto.timingSafeEqual(hashOf(token, it.saltHex), Buffer.from(it.hashHex, 'hex')),
    );
    if (match === undefined) throw errors.fail('unauthenticated', 'the token is not known');
    seen.set(digest, match);
    return match;
  };
};

const assertWriter = (operator: Operator): void => {
  if (operator.role === 'write') return;
  throw errors.fail('forbidden', `operator ${operator.operatorId} may only read`);
};

const writeConfiguration = async (
  gateway: OperatorGateway,
  operator: Operator,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  assertWriter(operator);
  const body = httpServer.parseJsonBody(request);
  const change = schemaIssues.decodeOrFail(ChangeBody, body, 'configuration change');
  const author = operator.operatorId;
  const record = await gateway.writeConfiguration({ ...change, author });
  return httpServer.jsonReply({ record });
};

const quarantine = async (
  gateway: OperatorGateway,
  operator: Operator,
  cell: string,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  assertWriter(operator);
  const body = httpServer.parseJsonBody(request);
  const wish = schemaIssues.decodeOrFail(QuarantineBody, body, 'quarantine');
  const { workerId, isQuarantined, reason } = wish;
  return httpServer.jsonReply(await gateway.quarantine(cell, workerId, isQuarantined, reason));
};

const answer = async (
  gateway: OperatorGateway,
  operator: Operator,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const [, , topic, name, detail] = request.path.split('/');
  switch (`${request.method} ${topic ?? ''}`) {
    case 'GET config':
      return httpServer.jsonReply({ record: gateway.configuration() ?? null });
    case 'PUT config':
      return writeConfiguration(gateway, operator, request);
    case 'GET cells':
      return httpServer.jsonReply(
        name === undefined ? { cells: await gateway.cells() } : await gateway.cell(name),
      );
    case 'POST cells':
      if (name !== undefined && detail === 'quarantine') {
        return quarantine(gateway, operator, name, request);
      }
      break;
    case 'GET ledger':
      if (name !== undefined) {
        return httpServer.jsonReply({ hours: await gateway.ledger(name) });
      }
      break;
    default:
  }
  throw errors.fail('notFound', `no page ${request.method} ${request.path}`, { field: 'path' });
};

/**
 * @param gateway - what operators can do
 * @param authenticate - gives the operator of a bearer header
 * @returns the handler of the operators' API, under `/api/`
 */
export const createOperatorApi =
  (
    gateway: OperatorGateway,
    authenticate: (header: string | undefined) => Operator,
  ): httpServer.Handler =>
  (request) =>
    answer(gateway, authenticate(request.headers.authorization), request);
