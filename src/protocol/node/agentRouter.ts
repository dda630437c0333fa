/**
 * What an agent answers to its cell's leader.
 */
import * as agentEntryMessages from '../common/agentEntryMessages.js';
import type * as messages from '../common/agentSchedulerMessages.js';
import * as schemas from '../common/agentSchedulerMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the agent. */
export interface AgentService {
  /** Accepts a leader's epoch and tells everything that the agent holds. */
  readonly fence: (request: messages.FenceRequest) => Promise<messages.FenceReply>;
  /** Runs a leader's commands in their order. */
  readonly command: (request: messages.CommandRequest) => Promise<messages.CommandReply>;
  /** Gives the configuration in force, to a process that has an older one. */
  readonly configuration: (
    request: agentEntryMessages.ConfigurationRequest,
  ) => Promise<agentEntryMessages.ConfigurationReply>;
  /** Takes the upstream out of service or back, on behalf of operators. */
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
