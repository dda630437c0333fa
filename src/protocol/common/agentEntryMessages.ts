/**
 * Messages between an agent and the entries of its region.
 */
import * as Schema from 'effect/Schema';

import * as configuration from '../../state/common/configuration.js';
import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** An agent's upstream as the entries route to it. */
export const UpstreamState = Schema.Struct({
  upstreamId: units.Id,
  slots: units.integerBetween(1, 4096),
  connections: units.integerBetween(1, 65_536),
  isLeaving: Schema.Boolean,
  /** Requests on slots now. */
  running: units.Count,
  /** Requests waiting for a slot. */
  queued: units.Count,
  /** Smoothed time that a request holds a slot. */
  serviceMs: units.numberBetween(0, 3_600_000),
});

/** See {@link UpstreamState}. */
export type UpstreamState = typeof UpstreamState.Type;

/** An agent makes itself known, or renews what the entry knows of it. */
export const RegisterRequest = Schema.Struct({
  from: envelope.Sender,
  /** Changes when the agent restarts: what it held before is gone. */
  bootId: units.CallerKey,
  /** The agent's monotonic clock, from which entries work out when an attempt is too late. */
  clockMs: units.Count,
  url: units.Url,
  zone: units.Id,
  region: units.Id,
  /** Absent where no upstream has announced itself on the VM. */
  upstream: Schema.optionalKey(UpstreamState),
  isLeaving: Schema.Boolean,
});

/** See {@link RegisterRequest}. */
export type RegisterRequest = typeof RegisterRequest.Type;

/** What the entry knows that the agent needs. */
export const RegisterReply = Schema.Struct({
  from: envelope.Sender,
  /** All live entries of the region. */
  entryUrls: Schema.Array(units.Url),
  /** Leader of the agent's cell, where one is known. */
  leader: Schema.optionalKey(Schema.Struct({ url: units.Url, epoch: units.Count })),
  /** Time until the next registration is due. */
  nextAfterMs: units.DurationMs,
});

/** See {@link RegisterReply}. */
export type RegisterReply = typeof RegisterReply.Type;

/** Asks for the configuration in force. */
export const ConfigurationRequest = Schema.Struct({ from: envelope.Sender });

/** See {@link ConfigurationRequest}. */
export type ConfigurationRequest = typeof ConfigurationRequest.Type;

/** The configuration in force at the answering process, where it has one. */
export const ConfigurationReply = Schema.Struct({
  from: envelope.Sender,
  record: Schema.optionalKey(configuration.ConfigurationRecord),
});

/** See {@link ConfigurationReply}. */
export type ConfigurationReply = typeof ConfigurationReply.Type;

/** Asks an entry for the agents that it knows, as they registered. */
export const DirectoryRequest = Schema.Struct({
  from: envelope.Sender,
  /** The emptiest ones only, so that an answer to another region stays small. */
  maxAgents: units.integerBetween(1, 4096),
});

/** See {@link DirectoryRequest}. */
export type DirectoryRequest = typeof DirectoryRequest.Type;

/** An agent of the answering entry's region that is alive. */
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

/** What the entry knows, without agents that are leaving or avoided. */
export const DirectoryReply = Schema.Struct({
  from: envelope.Sender,
  agents: Schema.Array(AgentState),
});

/** See {@link DirectoryReply}. */
export type DirectoryReply = typeof DirectoryReply.Type;

/** Agents that an entry knows in one zone, for a new leader of the cell. */
export const AgentsRequest = Schema.Struct({ from: envelope.Sender, zone: units.Id });

/** See {@link AgentsRequest}. */
export type AgentsRequest = typeof AgentsRequest.Type;

/** Where those agents listen. */
export const AgentsReply = Schema.Struct({
  from: envelope.Sender,
  agentUrls: Schema.Array(units.Url),
});

/** See {@link AgentsReply}. */
export type AgentsReply = typeof AgentsReply.Type;
