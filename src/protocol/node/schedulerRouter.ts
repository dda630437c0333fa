/**
 * What a scheduler answers to agents and entries, for the cells that it leads.
 */
import * as agentEntryMessages from '../common/agentEntryMessages.js';
import * as agentSchedulerMessages from '../common/agentSchedulerMessages.js';
import * as entrySchedulerMessages from '../common/entrySchedulerMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the scheduler; each throws `notLeader` for a cell that it does not lead. */
export interface SchedulerService {
  /** Takes an agent's heartbeat and renews its worker's task leases. */
  readonly report: (
    request: agentSchedulerMessages.ReportRequest,
  ) => Promise<agentSchedulerMessages.ReportReply>;
  /** Accepts a job; it is durable when this answers. */
  readonly submit: (
    request: entrySchedulerMessages.SubmitRequest,
  ) => Promise<entrySchedulerMessages.JobReply>;
  /** Cancels jobs; the wish is durable when this answers. */
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
  /** Gives the configuration in force. */
  readonly configuration: (
    request: agentEntryMessages.ConfigurationRequest,
  ) => Promise<agentEntryMessages.ConfigurationReply>;
  /** Tells which configuration version is in force here. */
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
