/**
 * RPC router of an agent, called by the cell's leader, by other processes and for operators.
 */
import * as agentEntryMessages from '../common/agentEntryMessages.js';
import type * as messages from '../common/agentSchedulerMessages.js';
import * as schemas from '../common/agentSchedulerMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the agent. */
export interface AgentService {
  /** Accepts a leader's epoch and returns all tasks of the agent. */
  readonly fence: (request: messages.FenceRequest) => Promise<messages.FenceReply>;
  /** Runs a leader's commands in order. */
  readonly command: (request: messages.CommandRequest) => Promise<messages.CommandReply>;
  /** Returns the active configuration, to a process that has an older one. */
  readonly configuration: (
    request: agentEntryMessages.ConfigurationRequest,
  ) => Promise<agentEntryMessages.ConfigurationReply>;
  /** Takes the upstream out of service or back into it, on behalf of operators. */
  readonly drain: (request: operatorMessages.DrainRequest) => Promise<operatorMessages.DrainReply>;
}

/**
 * @param service - handlers of the agent
 * @returns its router
 */
export const createAgentRouter = (service: AgentService) =>
  rpc.router({
    fence: rpc.procedure(schemas.FenceRequest, service.fence),
    command: rpc.procedure(schemas.CommandRequest, service.command),
    configuration: rpc.procedure(agentEntryMessages.ConfigurationRequest, service.configuration),
    drain: rpc.procedure(operatorMessages.DrainRequest, service.drain),
  });

/** Type of the router, for clients. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;
