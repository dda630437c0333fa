/**
 * Operators' routes for jobs: submit, cancel, and show one job with its decisions, from the archive
 * if the cell's leader no longer has it.
 */
import * as Schema from 'effect/Schema';

import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as job from '../../state/common/job.js';
import * as units from '../../state/common/units.js';
import type * as callerApi from './callerApi.js';
import * as httpServer from './httpServer.js';
import type * as operatorRoutes from './operatorRoutes.js';

/** Operations that the routes use. */
export interface JobsGateway {
  readonly jobs: callerApi.JobGateway;
  /** Looks up an ended job in the archive. */
  readonly findArchived: (cell: string, jobId: string) => Promise<job.JobRecord | undefined>;
}

const CancelBody = Schema.Struct({
  cell: units.Id,
  jobIds: Schema.Array(units.CallerKey).check(Schema.isMinLength(1), Schema.isMaxLength(1000)),
});

const submit = async (
  gateway: JobsGateway,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const body = httpServer.parseJsonBody(request);
  const spec = schemaIssues.decodeOrFail(job.JobSpec, body, 'job');
  return httpServer.jsonReply({ job: await gateway.jobs.submit(spec) }, 201);
};

const cancel = async (
  gateway: JobsGateway,
  request: httpServer.ServerRequest,
): Promise<httpServer.ServerReply> => {
  const body = httpServer.parseJsonBody(request);
  const { cell, jobIds } = schemaIssues.decodeOrFail(CancelBody, body, 'cancellation');
  return httpServer.jsonReply({ jobs: await gateway.jobs.cancel(cell, jobIds) });
};

/** Asks the leader first; if that fails for any reason, looks in the archive. */
const show = async (
  gateway: JobsGateway,
  cell: string,
  jobId: string,
): Promise<httpServer.ServerReply> => {
  try {
    return httpServer.jsonReply({ job: await gateway.jobs.show(cell, jobId), source: 'leader' });
  } catch (thrown) {
    const archived = await gateway.findArchived(cell, jobId);
    if (archived === undefined) throw thrown;
    return httpServer.jsonReply({ job: archived, source: 'archive' });
  }
};

/**
 * @param gateway - operations that the routes use
 * @returns the routes
 */
export const createJobRoutes = (gateway: JobsGateway): readonly operatorRoutes.Route[] => [
  {
    method: 'POST',
    pattern: '/api/jobs',
    role: 'write',
    handle: ({ request }) => submit(gateway, request),
  },
  {
    method: 'POST',
    pattern: '/api/jobs/cancel',
    role: 'write',
    handle: ({ request }) => cancel(gateway, request),
  },
  {
    method: 'GET',
    pattern: '/api/jobs/:cell/:job',
    role: 'read',
    handle: ({ param }) => show(gateway, param('cell'), param('job')),
  },
];
