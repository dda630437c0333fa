/**
 * RPC router of an entry, called by agents, schedulers and other entries.
 */
import type * as messages from '../common/agentEntryMessages.js';
import * as schemas from '../common/agentEntryMessages.js';
import * as operatorMessages from '../common/operatorMessages.js';
import * as rpc from './rpc.js';

/** Handlers of the entry. */
export interface EntryService {
  /** Registers an agent, or updates its registration. */
  readonly register: (request: messages.RegisterRequest) => Promise<messages.RegisterReply>;
  /** Returns the active configuration. */
  readonly configuration: (
    request: messages.ConfigurationRequest,
  ) => Promise<messages.ConfigurationReply>;
  /** Returns the region's agents, to an entry that has just started or is in another region. */
  readonly directory: (request: messages.DirectoryRequest) => Promise<messages.DirectoryReply>;
  /** Returns the agents of a zone to a new leader. */
  readonly agents: (request: messages.AgentsRequest) => Promise<messages.AgentsReply>;
  /** Returns all agents known to the entry, to another entry, on behalf of operators. */
  readonly overview: (
    request: operatorMessages.OverviewRequest,
  ) => Promise<operatorMessages.OverviewReply>;
  /** Returns the version of the active configuration. */
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
