/**
 * Operators' routes to jobs: submit, cancel, and one job with its decisions, also when the cell's
 * leader no longer has it.
 */
import * as Schema from 'effect/Schema';

import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as job from '../../state/common/job.js';
import type * as settings from '../../state/common/settings.js';
import * as units from '../../state/common/units.js';
import type * as callerApi from './callerApi.js';
import * as httpServer from './httpServer.js';

/** What the routes stand on. */
export interface JobsGateway {
  readonly jobs: callerApi.JobGateway;
  /** Looks for an ended job in the archive. */
  readonly archived: (cell: string, jobId: string) => Promise<job.JobRecord | undefined>;
}

const CancelBody = Schema.Struct({
  cell: units.Id,
  jobIds: Schema.Array(units.CallerKey).check(Schema.isMinLength(1), Schema.isMaxLength(1000)),
});

const assertWriter = (role: settings.OperatorToken['role']): void => {
  if (role !== 'write') throw errors.fail('forbidden', 'your token may only read; nothing ran');
};

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

/** The leader's word first; where it has none or does not answer, the archive may. */
const show = async (
  gateway: JobsGateway,
  cell: string,
  jobId: string,
): Promise<httpServer.ServerReply> => {
  try {
    return httpServer.jsonReply({ job: await gateway.jobs.show(cell, jobId), source: 'leader' });
  } catch (thrown) {
    const archived = await gateway.archived(cell, jobId);
    if (archived === undefined) throw thrown;
    return httpServer.jsonReply({ job: archived, source: 'archive' });
  }
};

/**
 * @param gateway - what the routes stand on
 * @returns the handler of the routes; it gives undefined for other paths
 */
export const createOperatorJobsApi =
  (gateway: JobsGateway) =>
  async (
    request: httpServer.ServerRequest,
    role: settings.OperatorToken['role'],
  ): Promise<httpServer.ServerReply | undefined> => {
    const [, , topic, cell, jobId] = request.path.split('/');
    if (topic !== 'jobs') return undefined;
    if (request.method === 'POST' && cell === undefined) {
      assertWriter(role);
      return submit(gateway, request);
    }
    if (request.method === 'POST' && cell === 'cancel' && jobId === undefined) {
      assertWriter(role);
      return cancel(gateway, request);
    }
    if (request.method === 'GET' && cell !== undefined && jobId !== undefined) {
      return show(gateway, decodeURIComponent(cell), decodeURIComponent(jobId));
    }
    return undefined;
  };
