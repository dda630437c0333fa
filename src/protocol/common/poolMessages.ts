/**
 * Messages between the processes that serve pools: schedulers with agents and with entries.
 */
import * as Schema from 'effect/Schema';

import * as agentContract from '../../state/common/pool/agentContract.js';
import * as units from '../../state/common/units.js';
import * as envelope from './envelope.js';

/** Renews the leader's authority and the tasks' leases, and waits for worker updates. */
export const SyncMessage = Schema.Struct({
  from: envelope.Sender,
  sync: agentContract.SyncRequest,
});

/** See {@link SyncMessage}. */
export type SyncMessage = typeof SyncMessage.Type;

/** The agent's updates on its worker. */
export interface SyncAnswer {
  readonly from: envelope.Sender;
  readonly news: agentContract.WorkerUpdate;
}

/** Orders of the leader to an agent. */
export const OrderMessage = Schema.Struct({
  from: envelope.Sender,
  order: agentContract.OrderRequest,
});

/** See {@link OrderMessage}. */
export type OrderMessage = typeof OrderMessage.Type;

/** Results of the orders. */
export interface OrderAnswer {
  readonly from: envelope.Sender;
  readonly reply: agentContract.OrderReply;
}

/** Notifies the schedulers that an entry has stored a record of a job. */
export const JobChangedMessage = Schema.Struct({
  from: envelope.Sender,
  jobId: units.CallerKey,
  part: Schema.Literals(['spec', 'cancel']),
});

/** See {@link JobChangedMessage}. */
export type JobChangedMessage = typeof JobChangedMessage.Type;

/** Acknowledges the notification. */
export interface JobChangedAnswer {
  readonly from: envelope.Sender;
}

/** A store call that a process relays through an entry, which does not interpret the bytes. */
export const RelayMessage = Schema.Struct({
  from: envelope.Sender,
  method: Schema.String,
  path: Schema.String,
  /** Base64. */
  body: Schema.String,
  timeoutMs: units.DurationMs,
  /** HTTP statuses of replies whose body the caller does not need. */
  unreadStatuses: Schema.Array(units.Count),
});

/** See {@link RelayMessage}. */
export type RelayMessage = typeof RelayMessage.Type;

/** The store's reply, streamed as it arrives. */
export interface RelayAnswer {
  readonly from: envelope.Sender;
  readonly status: number;
  /** Chunks, each in base64; the iteration fails if the store's reply is truncated. */
  readonly body: AsyncIterable<string>;
}

/** Requests, from the entry on the scheduler's machine, a configuration later than its own. */
export const ConfigurationMessage = Schema.Struct({
  from: envelope.Sender,
  /** Store revision up to which the scheduler has seen all changes. */
  afterRevision: units.Count,
  /** Longest time that the entry waits for a later configuration. */
  waitMs: units.DurationMs,
});

/** See {@link ConfigurationMessage}. */
export type ConfigurationMessage = typeof ConfigurationMessage.Type;

/** The entry's reply; without a record if there is no later configuration. */
export interface ConfigurationAnswer {
  readonly from: envelope.Sender;
  /** Store revision up to which the entry has seen all changes. */
  readonly seenRevision: number;
  readonly record?: { readonly value: string; readonly revision: number };
}

/** Requests the number of pending jobs from the leader. */
export const PendingMessage = Schema.Struct({ from: envelope.Sender });

/** See {@link PendingMessage}. */
export type PendingMessage = typeof PendingMessage.Type;

/** Number of accepted jobs without a started task, by queue. */
export const PendingAnswer = Schema.Struct({
  from: envelope.Sender,
  pendingByQueue: Schema.Record(Schema.String, units.Count),
});

/** See {@link PendingAnswer}. */
export type PendingAnswer = typeof PendingAnswer.Type;
