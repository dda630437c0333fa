/**
 * Messages between an agent and the entries of its region.
 */
import * as Schema from 'effect/Schema';

import * as configuration from '../../state/common/configuration.js';
import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** State of an agent's upstream, from which entries route requests. */
export const UpstreamState = Schema.Struct({
  upstreamId: units.Id,
  slots: units.integerBetween(1, 4096),
  connections: units.integerBetween(1, 65_536),
  isLeaving: Schema.Boolean,
  /** Requests that occupy a slot now. */
  running: units.Count,
  /** Requests waiting for a slot. */
  queued: units.Count,
  /** Smoothed time that a request holds a slot. */
  serviceMs: units.numberBetween(0, 3_600_000),
});

/** See {@link UpstreamState}. */
export type UpstreamState = typeof UpstreamState.Type;

/** Registers an agent with an entry, or updates its registration. */
export const RegisterRequest = Schema.Struct({
  from: envelope.Sender,
  /** Changes when the agent restarts, which loses its in-memory state. */
  bootId: units.CallerKey,
  /** The agent's monotonic clock, from which entries compute an attempt's latest start. */
  clockMs: units.Count,
  url: units.Url,
  zone: units.Id,
  region: units.Id,
  /** Absent if no upstream has announced itself on the VM. */
  upstream: Schema.optionalKey(UpstreamState),
  isLeaving: Schema.Boolean,
});

/** See {@link RegisterRequest}. */
export type RegisterRequest = typeof RegisterRequest.Type;

/** The entry's reply to a registration: addresses of other entries and of the cell's leader. */
export const RegisterReply = Schema.Struct({
  from: envelope.Sender,
  /** All live entries of the region. */
  entryUrls: Schema.Array(units.Url),
  /** Leader of the agent's cell, if known. */
  leader: Schema.optionalKey(Schema.Struct({ url: units.Url, epoch: units.Count })),
  /** Time until the next registration is due. */
  nextAfterMs: units.DurationMs,
});

/** See {@link RegisterReply}. */
export type RegisterReply = typeof RegisterReply.Type;

/** Requests the active configuration. */
export const ConfigurationRequest = Schema.Struct({ from: envelope.Sender });

/** See {@link ConfigurationRequest}. */
export type ConfigurationRequest = typeof ConfigurationRequest.Type;

/** The active configuration of the replying process, if it has one. */
export const ConfigurationReply = Schema.Struct({
  from: envelope.Sender,
  record: Schema.optionalKey(configuration.ConfigurationRecord),
});

/** See {@link ConfigurationReply}. */
export type ConfigurationReply = typeof ConfigurationReply.Type;

/** Requests the agents registered with an entry. */
export const DirectoryRequest = Schema.Struct({
  from: envelope.Sender,
  /** Only the least loaded agents are returned, to keep replies to other regions small. */
  maxAgents: units.integerBetween(1, 4096),
});

/** See {@link DirectoryRequest}. */
export type DirectoryRequest = typeof DirectoryRequest.Type;

/** A live agent in the replying entry's region. */
export const AgentState = Schema.Struct({
  agentId: units.Id,
  bootId: units.CallerKey,
  clockMs: units.Count,
  url: units.Url,
  zone: units.Id,
  region: units.Id,
  upstream: UpstreamState,
});

/** See {@link AgentState}. */
export type AgentState = typeof AgentState.Type;

/** The registered agents, without those that are draining or excluded from routing. */
export const DirectoryReply = Schema.Struct({
  from: envelope.Sender,
  agents: Schema.Array(AgentState),
});

/** See {@link DirectoryReply}. */
export type DirectoryReply = typeof DirectoryReply.Type;

/** Requests the agents that an entry knows in one zone, for a new leader of the cell. */
export const AgentsRequest = Schema.Struct({ from: envelope.Sender, zone: units.Id });

/** See {@link AgentsRequest}. */
export type AgentsRequest = typeof AgentsRequest.Type;

/** URLs of those agents. */
export const AgentsReply = Schema.Struct({
  from: envelope.Sender,
  agentUrls: Schema.Array(units.Url),
});

/** See {@link AgentsReply}. */
export type AgentsReply = typeof AgentsReply.Type;
