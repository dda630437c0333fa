/**
 * RPC routers of the processes that serve pools.
 */
import * as poolMessages from '../common/poolMessages.js';
import * as rpc from './rpc.js';

/** Handlers of an agent; each throws `staleEpoch` if a later leader has taken over. */
export interface PoolAgentService {
  readonly sync: (message: poolMessages.SyncMessage) => Promise<poolMessages.SyncAnswer>;
  readonly order: (message: poolMessages.OrderMessage) => Promise<poolMessages.OrderAnswer>;
}

/** Handlers of a scheduler; `pending` throws `notLeader` if it does not lead. */
export interface PoolSchedulerService {
  readonly pending: (message: poolMessages.PendingMessage) => Promise<poolMessages.PendingAnswer>;
  /** Accepted by every scheduler, since an entry does not know which one leads. */
  readonly jobChanged: (
    message: poolMessages.JobChangedMessage,
  ) => Promise<poolMessages.JobChangedAnswer>;
}

/** Handlers of an entry. */
export interface PoolEntryService {
  /** @throws AuburnliftError `noUpstream` if nothing was sent to the store */
  readonly relay: (message: poolMessages.RelayMessage) => Promise<poolMessages.RelayAnswer>;
  /** @throws AuburnliftError `storeUnavailable` if the entry can't confirm its own as current */
  readonly configuration: (
    message: poolMessages.ConfigurationMessage,
  ) => Promise<poolMessages.ConfigurationAnswer>;
}

/**
 * @param service - handlers
 * @returns the agent's router
 */
export const createPoolAgentRouter = (service: PoolAgentService) =>
  rpc.router({
    sync: rpc.procedure(poolMessages.SyncMessage, service.sync),
    order: rpc.procedure(poolMessages.OrderMessage, service.order),
  });

/** Type of the agent's router, for clients. */
export type PoolAgentRouter = ReturnType<typeof createPoolAgentRouter>;

/**
 * @param service - handlers
 * @returns the scheduler's router
 */
export const createPoolSchedulerRouter = (service: PoolSchedulerService) =>
  rpc.router({
    pending: rpc.procedure(poolMessages.PendingMessage, service.pending),
    jobChanged: rpc.procedure(poolMessages.JobChangedMessage, service.jobChanged),
  });

/** Type of the scheduler's router, for clients. */
export type PoolSchedulerRouter = ReturnType<typeof createPoolSchedulerRouter>;

/**
 * @param service - handlers
 * @returns the entry's router
 */
export const createPoolEntryRouter = (service: PoolEntryService) =>
  rpc.router({
    relay: rpc.procedure(poolMessages.RelayMessage, service.relay),
    configuration: rpc.procedure(poolMessages.ConfigurationMessage, service.configuration),
  });

/** Type of the entry's router, for clients. */
export type PoolEntryRouter = ReturnType<typeof createPoolEntryRouter>;
