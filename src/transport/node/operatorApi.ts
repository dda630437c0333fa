/**
 * What operators reach with a token: the configuration, cells, jobs and the ledger as JSON.
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

/** A change as it is sent. */
export const ChangeBody = Schema.Struct({
  baseVersion: units.Count,
  writeId: units.CallerKey,
  reason: units.ShortText.check(Schema.isMinLength(1)),
  /** Decoded apart from the rest, so that complaints name paths within the document. */
  document: Schema.Unknown,
  /** Whether running guaranteed jobs may lose their guarantee. */
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
    const wish = schemaIssues.decodeOrFail(QuarantineBody, body, 'quarantine');
    const { workerId, isQuarantined, reason } = wish;
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

const reading = (
  pattern: string,
  read: (context: operatorRoutes.RouteContext) => Promise<unknown>,
): operatorRoutes.Route => ({
  method: 'GET',
  pattern,
  role: 'read',
  handle: async (context) => httpServer.jsonReply(await read(context)),
});

/**
 * @param gateway - what operators can do
 * @returns the routes of the JSON API
 */
export const createApiRoutes = (
  gateway: operatorGateway.OperatorGateway,
): readonly operatorRoutes.Route[] => [
  reading('/api/config', () => Promise.resolve({ record: gateway.configuration() ?? null })),
  { method: 'PUT', pattern: '/api/config', role: 'write', handle: putConfiguration(gateway) },
  reading('/api/config/history', async () => ({ versions: await gateway.history() })),
  reading('/api/config/history/:version', async ({ param }) => ({
    record: await gateway.historyVersion(parseVersion(param('version'))),
  })),
  reading('/api/config/status', () => gateway.status()),
  reading('/api/cells', async () => ({ cells: await gateway.cells() })),
  reading('/api/cells/:cell', ({ param }) => gateway.cell(param('cell'))),
  {
    method: 'POST',
    pattern: '/api/cells/:cell/quarantine',
    role: 'write',
    handle: postQuarantine(gateway),
  },
  reading('/api/jobs', () => gateway.jobs()),
  reading('/api/upstreams', async () => ({ upstreams: await gateway.upstreams() })),
  {
    method: 'POST',
    pattern: '/api/upstreams/:upstream/drain',
    role: 'write',
    handle: postDrain(gateway),
  },
  reading('/api/ledger/:cell', async ({ param }) => ({
    hours: await gateway.ledger(param('cell')),
  })),
];

/**
 * @param routes - all routes, those of other modules included
 * @param authenticate - gives the operator of a token
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
