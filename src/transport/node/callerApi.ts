/**
 * HTTP API for callers and customers: requests to upstreams, and jobs.
 */
import type * as nodeHttp from 'node:http';

import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as exchange from '../../protocol/common/exchange.js';
import type * as requestRouter from '../../protocol/node/requestRouter.js';
import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';
import * as healthApi from './healthApi.js';
import * as httpServer from './httpServer.js';

/** Path prefix of requests to upstreams; the rest is the path at the upstream. */
export const CALL_PREFIX = '/call';

/** Job operations that the entry offers. */
export interface JobGateway {
  readonly submit: (spec: job.JobSpec) => Promise<job.JobRecord>;
  readonly show: (cell: string, jobId: string) => Promise<job.JobRecord>;
  readonly cancel: (cell: string, jobIds: readonly string[]) => Promise<readonly job.JobRecord[]>;
}

/** Options of the callers' API. */
export interface CallerApiOptions {
  readonly health: healthApi.HealthOptions;
  readonly router: requestRouter.RequestRouter;
  readonly jobs: JobGateway;
  readonly defaultDeadlineMs: () => number;
  readonly isKnownCustomer: (customerId: string) => boolean;
  readonly newId: () => string;
  /** Maximum number of requests in flight at this entry. */
  readonly maxOpenRequests: number;
  readonly isDraining: () => boolean;
}

const MAX_DEADLINE_MS = 3_600_000;
const BUSY_RETRY_MS = 1000;

const headerOf = (headers: nodeHttp.IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const decodeHeader = <T>(
  schema: Parameters<typeof schemaIssues.decode<T>>[0],
  name: string,
  value: unknown,
): T => {
  const decoded = schemaIssues.decode(schema, value);
  if (decoded.isValid) return decoded.value;
  const expected = decoded.issues[0]?.message ?? 'another value';
  throw errors.fail('invalidRequest', `${name}: ${expected}; nothing ran`, { field: name });
};

const deadlineOf = (options: CallerApiOptions, headers: nodeHttp.IncomingHttpHeaders): number => {
  const text = headerOf(headers, 'auburnlift-deadline-ms');
  if (text === undefined) return options.defaultDeadlineMs();
  const schema = units.integerBetween(1, MAX_DEADLINE_MS);
  return decodeHeader(schema, 'auburnlift-deadline-ms', Number(text));
};

const customerOf = (options: CallerApiOptions, headers: nodeHttp.IncomingHttpHeaders): string => {
  const given = headerOf(headers, 'auburnlift-customer');
  const customerId = decodeHeader(units.Id, 'auburnlift-customer', given);
  if (options.isKnownCustomer(customerId)) return customerId;
  throw errors.fail('forbidden', `no customer ${customerId}; nothing ran`, {
    field: 'auburnlift-customer',
  });
};

const flagOf = (headers: nodeHttp.IncomingHttpHeaders, name: string): boolean => {
  const text = headerOf(headers, name) ?? 'false';
  if (text === 'true' || text === 'false') return text === 'true';
  throw errors.fail('invalidRequest', `${name}: true or false expected; nothing ran`, {
    field: name,
  });
};

const toCallerRequest = (
  options: CallerApiOptions,
  request: httpServer.ServerRequest,
): requestRouter.CallerRequest => {
  const { headers } = request;
  const key = headerOf(headers, 'idempotency-key') ?? options.newId();
  const query = request.query.size === 0 ? '' : `?${request.query.toString()}`;
  return {
    customerId: customerOf(options, headers),
    requestId: decodeHeader(units.CallerKey, 'idempotency-key', key),
    isIdempotent: flagOf(headers, 'auburnlift-idempotent'),
    isClaimed: flagOf(headers, 'auburnlift-claim'),
    deadlineMs: deadlineOf(options, headers),
    method: request.method,
    path: (request.path.slice(CALL_PREFIX.length) || '/') + query,
    contentType: headerOf(headers, 'content-type') ?? 'application/octet-stream',
    body: request.body,
  };
};

const toReply = (answer: exchange.Answer): httpServer.ServerReply => ({
  status: answer.status,
  headers: { 'content-type': answer.contentType },
  body: answer.body,
});

const assertCapacity = (options: CallerApiOptions): void => {
  if (options.isDraining()) {
    throw errors.fail('draining', 'this entry is shutting down; nothing ran', { retryAfterMs: 0 });
  }
  if (options.router.openRequestCount() >= options.maxOpenRequests) {
    throw errors.fail('overloaded', 'this entry has too many open requests; nothing ran', {
      retryAfterMs: BUSY_RETRY_MS,
    });
  }
};

interface CancelBody {
  readonly cell: string;
  readonly jobIds: readonly string[];
}

const parseCancel = (request: httpServer.ServerRequest): CancelBody => {
  const body = httpServer.parseJsonBody(request) as Partial<CancelBody> | null;
  const isValid = typeof body?.cell === 'string' && Array.isArray(body.jobIds);
  if (!isValid) {
    throw errors.fail('invalidRequest', 'expected { cell, jobIds }; nothing ran', {
      field: typeof body?.cell === 'string' ? 'jobIds' : 'cell',
    });
  }
  return body as CancelBody;
};

const answerJobs = async (
  options: CallerApiOptions,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const [, , , cell, jobId] = request.path.split('/');
  if (request.method === 'POST' && request.path === '/v1/jobs') {
    const body = httpServer.parseJsonBody(request);
    const spec = schemaIssues.decodeOrFail(job.JobSpec, body, 'job');
    return httpServer.jsonReply({ job: await options.jobs.submit(spec) }, 201);
  }
  if (request.method === 'POST' && request.path === '/v1/jobs/cancel') {
    const { cell: targetCell, jobIds } = parseCancel(request);
    return httpServer.jsonReply({ jobs: await options.jobs.cancel(targetCell, jobIds) });
  }
  if (request.method === 'GET' && cell !== undefined && jobId !== undefined) {
    const record = await options.jobs.show(cell, decodeURIComponent(jobId));
    return httpServer.jsonReply({ job: record });
  }
  throw errors.fail('notFound', `no page ${request.method} ${request.path}`, { field: 'path' });
};

/**
 * @param options - dependencies and limits
 * @returns the handler of the callers' API
 */
export const createCallerApi =
  (options: CallerApiOptions): httpServer.Handler =>
  async (request) => {
    const health = healthApi.answerHealth(options.health, request);
    if (health !== undefined) return health;
    if (request.path === CALL_PREFIX || request.path.startsWith(`${CALL_PREFIX}/`)) {
      assertCapacity(options);
      return toReply(await options.router.route(toCallerRequest(options, request)));
    }
    if (request.path.startsWith('/v1/jobs')) return answerJobs(options, request);
    throw errors.fail('notFound', `no page ${request.path}; nothing ran`, { field: 'path' });
  };
