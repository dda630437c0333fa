/**
 * Messages between the processes that serve pools: the leader and the agents, entries and the leader.
 */
import * as Schema from 'effect/Schema';

import * as agentContract from '../../state/common/pool/agentContract.js';
import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** The leader renews its authority and the tasks' leases, and waits for news. */
export const SyncMessage = Schema.Struct({
  from: envelope.Sender,
  sync: agentContract.SyncRequest,
});

/** See {@link SyncMessage}. */
export type SyncMessage = typeof SyncMessage.Type;

/** What the agent knows of its worker. */
export interface SyncAnswer {
  readonly from: envelope.Sender;
  readonly news: agentContract.WorkerNews;
}

/** The leader's orders. */
export const OrderMessage = Schema.Struct({
  from: envelope.Sender,
  order: agentContract.OrderRequest,
});

/** See {@link OrderMessage}. */
export type OrderMessage = typeof OrderMessage.Type;

/** What became of the orders. */
export interface OrderAnswer {
  readonly from: envelope.Sender;
  readonly reply: agentContract.OrderReply;
}

/** An entry tells the schedulers that it has stored a record of a job. */
export const JobChangedMessage = Schema.Struct({
  from: envelope.Sender,
  jobId: units.CallerKey,
  part: Schema.Literals(['spec', 'cancel']),
});

/** See {@link JobChangedMessage}. */
export type JobChangedMessage = typeof JobChangedMessage.Type;

/** The scheduler has heard of it. */
export interface JobChangedAnswer {
  readonly from: envelope.Sender;
}

/** A call of the store that a process makes through an entry, as bytes that neither of them looks into. */
export const RelayMessage = Schema.Struct({
  from: envelope.Sender,
  method: Schema.String,
  path: Schema.String,
  /** In base64. */
  body: Schema.String,
  timeoutMs: units.DurationMs,
  /** Of answers whose body is of no use to the caller. */
  unreadStatuses: Schema.Array(units.Count),
});

/** See {@link RelayMessage}. */
export type RelayMessage = typeof RelayMessage.Type;

/** The store's answer, passed on while it comes. */
export interface RelayAnswer {
  readonly from: envelope.Sender;
  readonly status: number;
  /** Pieces, each in base64; fails where the store's answer breaks off. */
  readonly body: AsyncIterable<string>;
}

/** A scheduler asks the entry on its machine for a configuration later than the one it has. */
export const ConfigurationMessage = Schema.Struct({
  from: envelope.Sender,
  /** Everything up to this revision of the store is known. */
  afterRevision: units.Count,
  /** How long the entry waits for one. */
  waitMs: units.DurationMs,
});

/** See {@link ConfigurationMessage}. */
export type ConfigurationMessage = typeof ConfigurationMessage.Type;

/** What the entry has; without a record where there is nothing later. */
export interface ConfigurationAnswer {
  readonly from: envelope.Sender;
  /** Revision of the store up to which the entry has seen all changes. */
  readonly seenRevision: number;
  readonly record?: { readonly value: string; readonly revision: number };
}

/** An entry asks the leader how many jobs wait. */
export const PendingMessage = Schema.Struct({ from: envelope.Sender });

/** See {@link PendingMessage}. */
export type PendingMessage = typeof PendingMessage.Type;

/** Accepted jobs by queue of which no task has started. */
export const PendingAnswer = Schema.Struct({
  from: envelope.Sender,
  pendingByQueue: Schema.Record(Schema.String, units.Count),
});

/** See {@link PendingAnswer}. */
export type PendingAnswer = typeof PendingAnswer.Type;
