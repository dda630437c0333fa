/**
 * RPC router of a scheduler, called by agents and entries for the cells that it leads.
 */
import * as agentEntryMessages from '../common/agentEntryMessages.js';
import * as agentSchedulerMessages from '../common/agentSchedulerMessages.js';
import * as entrySchedulerMessages from '../common/entrySchedulerMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the scheduler; each throws `notLeader` for a cell that it does not lead. */
export interface SchedulerService {
  /** Handles an agent's heartbeat and renews the leases of its worker's tasks. */
  readonly report: (
    request: agentSchedulerMessages.ReportRequest,
  ) => Promise<agentSchedulerMessages.ReportReply>;
  /** Accepts a job; it is durable when this resolves. */
  readonly submit: (
    request: entrySchedulerMessages.SubmitRequest,
  ) => Promise<entrySchedulerMessages.JobReply>;
  /** Cancels jobs; the cancellation is durable when this resolves. */
  readonly cancel: (
    request: entrySchedulerMessages.CancelRequest,
  ) => Promise<entrySchedulerMessages.JobsReply>;
  readonly show: (
    request: entrySchedulerMessages.JobRequest,
  ) => Promise<entrySchedulerMessages.JobReply>;
  readonly cell: (
    request: entrySchedulerMessages.CellRequest,
  ) => Promise<entrySchedulerMessages.CellReply>;
  readonly quarantine: (
    request: entrySchedulerMessages.QuarantineRequest,
  ) => Promise<entrySchedulerMessages.CellReply>;
  /** Returns the active configuration. */
  readonly configuration: (
    request: agentEntryMessages.ConfigurationRequest,
  ) => Promise<agentEntryMessages.ConfigurationReply>;
  /** Returns the version of the active configuration. */
  readonly version: (
    request: operatorMessages.VersionRequest,
  ) => Promise<operatorMessages.VersionReply>;
}

/**
 * @param service - handlers of the scheduler
 * @returns its router
 */
export const createSchedulerRouter = (service: SchedulerService) =>
  rpc.router({
    report: rpc.procedure(agentSchedulerMessages.ReportRequest, service.report),
    submit: rpc.procedure(entrySchedulerMessages.SubmitRequest, service.submit),
    cancel: rpc.procedure(entrySchedulerMessages.CancelRequest, service.cancel),
    show: rpc.procedure(entrySchedulerMessages.JobRequest, service.show),
    cell: rpc.procedure(entrySchedulerMessages.CellRequest, service.cell),
    quarantine: rpc.procedure(entrySchedulerMessages.QuarantineRequest, service.quarantine),
    configuration: rpc.procedure(agentEntryMessages.ConfigurationRequest, service.configuration),
    version: rpc.procedure(operatorMessages.VersionRequest, service.version),
  });

/** Type of the router, for clients. */
export type SchedulerRouter = ReturnType<typeof createSchedulerRouter>;
