/**
 * Messages between entries, and from an entry to an agent, on behalf of operators.
 */
import * as Schema from 'effect/Schema';

import * as units from '../../state/common/units.js';
import * as agentEntryMessages from './agentEntryMessages.js';
import * as envelope from './envelope.js';

/** Requests the agents known to an entry. */
export const OverviewRequest = Schema.Struct({ from: envelope.Sender });

/** See {@link OverviewRequest}. */
export type OverviewRequest = typeof OverviewRequest.Type;

/** Requests a process's active configuration version. */
export const VersionRequest = Schema.Struct({ from: envelope.Sender });

/** See {@link VersionRequest}. */
export type VersionRequest = typeof VersionRequest.Type;

/** The version is in `from.configVersion`. */
export const VersionReply = Schema.Struct({ from: envelope.Sender });

/** See {@link VersionReply}. */
export type VersionReply = typeof VersionReply.Type;

/** Status of one agent, as known to an entry of its region. */
export const AgentStatus = Schema.Struct({
  agentId: units.Id,
  url: units.Url,
  zone: units.Id,
  region: units.Id,
  configVersion: units.Count,
  upstream: Schema.optionalKey(agentEntryMessages.UpstreamState),
});

/** See {@link AgentStatus}. */
export type AgentStatus = typeof AgentStatus.Type;

/** The agents known to the entry. */
export const OverviewReply = Schema.Struct({
  from: envelope.Sender,
  agents: Schema.Array(AgentStatus),
});

/** See {@link OverviewReply}. */
export type OverviewReply = typeof OverviewReply.Type;

/** Takes an upstream out of service or back into it, until its agent restarts. */
export const DrainRequest = Schema.Struct({ from: envelope.Sender, isDraining: Schema.Boolean });

/** See {@link DrainRequest}. */
export type DrainRequest = typeof DrainRequest.Type;

/** The upstream's current state; absent if no upstream has announced itself. */
export const DrainReply = Schema.Struct({
  from: envelope.Sender,
  upstream: Schema.optionalKey(agentEntryMessages.UpstreamState),
});

/** See {@link DrainReply}. */
export type DrainReply = typeof DrainReply.Type;
