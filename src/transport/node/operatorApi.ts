/**
 * JSON API for operators, authenticated by token: configuration, cells, jobs and the ledger.
 * `docs/operators/operators-api.md` lists the routes.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configurationChecks from '../../state/common/configurationChecks.js';
import * as units from '../../state/common/units.js';
import * as httpServer from './httpServer.js';
import * as operatorAuth from './operatorAuth.js';
import type * as operatorGateway from './operatorGateway.js';
import * as operatorRoutes from './operatorRoutes.js';

/** Request body of a configuration change. */
export const ChangeBody = Schema.Struct({
  baseVersion: units.Count,
  writeId: units.CallerKey,
  reason: units.ShortText.check(Schema.isMinLength(1)),
  /** Decoded separately, so that validation errors give paths within the document. */
  document: Schema.Unknown,
  /** Whether the change may take guarantees from running guaranteed jobs. */
  isStrandingAccepted: Schema.optionalKey(Schema.Boolean),
});

const QuarantineBody = Schema.Struct({
  workerId: units.Id,
  isQuarantined: Schema.Boolean,
  reason: units.ShortText,
});

const DrainBody = Schema.Struct({ isDraining: Schema.Boolean });

const parseVersion = (text: string): number => {
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw errors.fail('invalidRequest', `version: ${text} given, an integer expected`, {
    field: 'version',
  });
};

type Handle = operatorRoutes.Route['handle'];

const putConfiguration =
  (gateway: operatorGateway.OperatorGateway): Handle =>
  async ({ operator, request }) => {
    const body = httpServer.parseJsonBody(request);
    const change = schemaIssues.decodeOrFail(ChangeBody, body, 'configuration change');
    const { baseVersion, isStrandingAccepted = false } = change;
    const decoded = configurationChecks.decodeDocument(change.document);
    if (!decoded.isValid) throw configurationChecks.createRefusal(decoded.issues);
    const { value: document } = decoded;
    if (request.query.get('dryRun') === 'true') {
      return httpServer.jsonReply(await gateway.previewConfiguration(baseVersion, document));
    }
    const author = operator.operatorId;
    const record = await gateway.writeConfiguration({
      ...change,
      document,
      author,
      isStrandingAccepted,
    });
    return httpServer.jsonReply({ record });
  };

const postQuarantine =
  (gateway: operatorGateway.OperatorGateway): Handle =>
  async ({ request, param }) => {
    const body = httpServer.parseJsonBody(request);
    const quarantineRequest = schemaIssues.decodeOrFail(QuarantineBody, body, 'quarantine');
    const { workerId, isQuarantined, reason } = quarantineRequest;
    return httpServer.jsonReply(
      await gateway.quarantine(param('cell'), workerId, isQuarantined, reason),
    );
  };

const postDrain =
  (gateway: operatorGateway.OperatorGateway): Handle =>
  async ({ request, param }) => {
    const body = httpServer.parseJsonBody(request);
    const { isDraining } = schemaIssues.decodeOrFail(DrainBody, body, 'drain');
    const upstream = await gateway.drainUpstream(param('upstream'), isDraining);
    return httpServer.jsonReply({ upstream });
  };

const readRoute = (
  pattern: string,
  read: (context: operatorRoutes.RouteContext) => Promise<unknown>,
): operatorRoutes.Route => ({
  method: 'GET',
  pattern,
  role: 'read',
  handle: async (context) => httpServer.jsonReply(await read(context)),
});

/**
 * @param gateway - operations of the operators
 * @returns the routes of the JSON API
 */
export const createApiRoutes = (
  gateway: operatorGateway.OperatorGateway,
): readonly operatorRoutes.Route[] => [
  readRoute('/api/config', () => Promise.resolve({ record: gateway.configuration() ?? null })),
  { method: 'PUT', pattern: '/api/config', role: 'write', handle: putConfiguration(gateway) },
  readRoute('/api/config/history', async () => ({ versions: await gateway.history() })),
  readRoute('/api/config/history/:version', async ({ param }) => ({
    record: await gateway.historyVersion(parseVersion(param('version'))),
  })),
  readRoute('/api/config/status', () => gateway.status()),
  readRoute('/api/cells', async () => ({ cells: await gateway.cells() })),
  readRoute('/api/cells/:cell', ({ param }) => gateway.cell(param('cell'))),
  {
    method: 'POST',
    pattern: '/api/cells/:cell/quarantine',
    role: 'write',
    handle: postQuarantine(gateway),
  },
  readRoute('/api/jobs', () => gateway.jobs()),
  readRoute('/api/upstreams', async () => ({ upstreams: await gateway.upstreams() })),
  {
    method: 'POST',
    pattern: '/api/upstreams/:upstream/drain',
    role: 'write',
    handle: postDrain(gateway),
  },
  readRoute('/api/ledger/:cell', async ({ param }) => ({
    hours: await gateway.ledger(param('cell')),
  })),
];

/**
 * @param routes - all routes, including those of other modules
 * @param authenticate - returns the operator for a token
 * @returns the handler of the operators' API, under `/api/`
 */
export const createOperatorApi =
  (
    routes: readonly operatorRoutes.Route[],
    authenticate: operatorAuth.Authenticator,
  ): httpServer.Handler =>
  (request) =>
    operatorRoutes.dispatch(routes, request, async () =>
      authenticate(operatorAuth.bearerToken(request.headers.authorization)),
    );
