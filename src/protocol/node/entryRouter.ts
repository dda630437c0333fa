/**
 * What an entry answers to agents and schedulers.
 */
import type * as messages from '../common/agentEntryMessages.js';
import * as schemas from '../common/agentEntryMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the entry. */
export interface EntryService {
  /** Notes an agent, or renews what is known of it. */
  readonly register: (request: messages.RegisterRequest) => Promise<messages.RegisterReply>;
  /** Gives the configuration in force. */
  readonly configuration: (
    request: messages.ConfigurationRequest,
  ) => Promise<messages.ConfigurationReply>;
  /** Gives the agents of the region to an entry that has just started, or of another region. */
  readonly directory: (request: messages.DirectoryRequest) => Promise<messages.DirectoryReply>;
  /** Gives the agents of a zone to a new leader. */
  readonly agents: (request: messages.AgentsRequest) => Promise<messages.AgentsReply>;
  /** Gives all agents that the entry knows, to another entry, for operators. */
  readonly overview: (
    request: operatorMessages.OverviewRequest,
  ) => Promise<operatorMessages.OverviewReply>;
  /** Tells which configuration version is in force here. */
  readonly version: (
    request: operatorMessages.VersionRequest,
  ) => Promise<operatorMessages.VersionReply>;
}

/**
 * @param service - handlers of the entry
 * @returns its router
 */
export const createEntryRouter = (service: EntryService) =>
  rpc.router({
    register: rpc.procedure(schemas.RegisterRequest, service.register),
    configuration: rpc.procedure(schemas.ConfigurationRequest, service.configuration),
    directory: rpc.procedure(schemas.DirectoryRequest, service.directory),
    agents: rpc.procedure(schemas.AgentsRequest, service.agents),
    overview: rpc.procedure(operatorMessages.OverviewRequest, service.overview),
    version: rpc.procedure(operatorMessages.VersionRequest, service.version),
  });

/** Type of the router, for clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
