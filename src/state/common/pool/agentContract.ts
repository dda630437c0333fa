/**
 * Messages between the leader and an agent, and between an agent and its worker.
 */
import * as Schema from 'effect/Schema';

import * as units from '../units.js';
import * as poolWorker from './poolWorker.js';

/**
 * The leader's fences are multiples of this. With the values in between, an agent fences off delayed orders without
 * the leader: one after each message with an unacknowledged start, and one for each new incarnation of its worker.
 */
export const FENCE_STEP = 8;

/** The leader renews its authority and the tasks' leases, and waits for changes. */
export const SyncRequest = Schema.Struct({
  /** Increases with each leader; the agent refuses every lower one from then on. */
  fence: units.Count,
  /** Incarnation of the worker to which the lease and the acknowledgement apply; 0 if none is known. */
  incarnationMs: units.Count,
  /** End of the tasks' leases on the worker's clock; 0 renews none. */
  leaseUntilMs: units.Count,
  /** Acknowledges ended runs up to this sequence number: they are stored, the worker may drop them. */
  seenUpTo: units.Count,
  /** Version of the worker state that the leader has; the answer waits for a later one. */
  knownVersion: units.Count,
  waitMs: units.DurationMs,
  /** The agent keeps it for the next leader, as it is; absent where it has not changed. */
  speedRecord: Schema.optionalKey(Schema.String),
});

/** See {@link SyncRequest}. */
export type SyncRequest = typeof SyncRequest.Type;

/** A start order that got no answer: a copy of it may still be executed. */
export const OpenStart = Schema.Struct({
  task: Schema.String,
  /** The worker that it was sent to. */
  workerId: Schema.String,
  /** Time since its last copy was sent at the latest, by the agent's clock. */
  ageMs: units.Count,
});

/** See {@link OpenStart}. */
export type OpenStart = typeof OpenStart.Type;

/** A run that had begun, or may have begun, and had not ended when its worker's incarnation did. */
export const InterruptedRun = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  /** From its start to the end of the incarnation; absent if it began before the agent's process. */
  ranMs: Schema.optionalKey(units.Count),
});

/** See {@link InterruptedRun}. */
export type InterruptedRun = typeof InterruptedRun.Type;

/** An incarnation of the worker that the agent has seen end. */
export const FormerIncarnation = Schema.Struct({
  workerId: Schema.String,
  incarnationMs: units.Count,
  /** It ended without an announcement. */
  hasCrashed: Schema.Boolean,
  /** Time since its last sign of life at the latest, by the agent's clock. */
  endedAgoMs: units.Count,
  runs: Schema.Array(InterruptedRun),
});

/** See {@link FormerIncarnation}. */
export type FormerIncarnation = typeof FormerIncarnation.Type;

/** The state of an agent's worker as known to the agent. */
export const WorkerUpdate = Schema.Struct({
  /** Identifies one incarnation of the agent's process. */
  bootId: Schema.String,
  version: units.Count,
  worker: Schema.optionalKey(poolWorker.WorkerInfo),
  view: Schema.optionalKey(poolWorker.WorkerReport),
  /** Fence under which the worker sent the report. */
  viewFence: units.Count,
  /** Time since the agent received the report, by the agent's clock; 0 without a report, which says nothing of the worker. */
  viewAgeMs: units.Count,
  /** Time since the worker's current incarnation left a request unanswered; absent while it answers. */
  silentForMs: Schema.optionalKey(units.Count),
  /** Start orders of earlier leaders that got no answer; absent where there are none. */
  openStarts: Schema.optionalKey(Schema.Array(OpenStart)),
  /** Recent former incarnations, the same ones repeatedly; absent where there are none. */
  formerIncarnations: Schema.optionalKey(Schema.Array(FormerIncarnation)),
  /** What an earlier leader had learnt of the worker's speed; absent where there is none. */
  speedRecord: Schema.optionalKey(Schema.String),
});

/** See {@link WorkerUpdate}. */
export type WorkerUpdate = typeof WorkerUpdate.Type;

/** One task to start. */
export const StartCommand = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  /** Selects the payload in the request's `payloads`. */
  jobId: Schema.String,
  /** On the worker's clock; the start is refused once it has passed. */
  leaseUntilMs: units.Count,
  /** Checkpoint to resume from; empty if there is none. */
  saved: Schema.String,
  /** Approval by the policy service, if the queue needs one. */
  ticket: Schema.optionalKey(Schema.String),
});

/** See {@link StartCommand}. */
export type StartCommand = typeof StartCommand.Type;

/** One run to stop; after that, any start of the run is refused. */
export const StopCommand = Schema.Struct({ task: Schema.String, run: units.Count });

/** See {@link StopCommand}. */
export type StopCommand = typeof StopCommand.Type;

/** Sets the share of full speed at which a task runs. */
export const PaceCommand = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  percent: units.integerBetween(0, 100),
});

/** See {@link PaceCommand}. */
export type PaceCommand = typeof PaceCommand.Type;

/** Orders for one incarnation of one worker. */
export const OrderRequest = Schema.Struct({
  fence: units.Count,
  workerId: Schema.String,
  incarnationMs: units.Count,
  /** On the worker's clock; starts are refused later: the leader may not know of an evacuation. Absent without a limit. */
  startsUntilMs: Schema.optionalKey(units.Count),
  /** Payloads by job id. */
  payloads: Schema.Record(Schema.String, Schema.String),
  starts: Schema.Array(StartCommand),
  stops: Schema.Array(StopCommand),
  paces: Schema.Array(PaceCommand),
});

/** See {@link OrderRequest}. */
export type OrderRequest = typeof OrderRequest.Type;

/** Outcome of an order. */
export const OrderOutcome = {
  accepted: 'accepted',
  /** Refused, and no copy of it can take effect later. */
  refused: 'refused',
  /** It may have taken effect, or may still do so. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link OrderOutcome}. */
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Result of one start, stop or pace order. */
export const OrderResult = Schema.Struct({
  task: Schema.String,
  run: units.Count,
  outcome: Schema.Literals(['accepted', 'refused', 'unknown']),
  /** Why it was refused, for the log. */
  reason: Schema.String,
  /** An attempt to deliver it was not acknowledged: that copy may still be executed, whatever `outcome` says. */
  hasOpenCopy: Schema.Boolean,
});

/** See {@link OrderResult}. */
export type OrderResult = typeof OrderResult.Type;

/** Results in the order of the request's starts, stops and paces, and the worker's state. */
export const OrderReply = Schema.Struct({
  starts: Schema.Array(OrderResult),
  stops: Schema.Array(OrderResult),
  paces: Schema.Array(OrderResult),
  news: WorkerUpdate,
  /** Whether the worker reported its state after the orders were sent. */
  isNewsLater: Schema.Boolean,
});

/** See {@link OrderReply}. */
export type OrderReply = typeof OrderReply.Type;

/** Calls of the leader to an agent. They throw if no answer arrives. */
export interface AgentApi {
  readonly sync: (url: string, request: SyncRequest) => Promise<WorkerUpdate>;
  readonly order: (url: string, request: OrderRequest) => Promise<OrderReply>;
}

/** A start order as sent to the worker. */
export interface WorkerStart {
  readonly task: string;
  readonly run: number;
  readonly payload: string;
  readonly leaseUntilMs: number;
  readonly fence: number;
  readonly saved: string;
  readonly ticket: string | undefined;
}

/** Result of one attempt to deliver an order to the worker. */
export interface WorkerAnswer {
  readonly outcome: OrderOutcome;
  readonly reason: string;
}

/** Result of an order over all delivery attempts. */
export interface DeliveryResult extends WorkerAnswer {
  readonly hasOpenCopy: boolean;
}

/** An agent's request for a worker's report. */
export interface WorkerReportRequest {
  readonly fence: number;
  /** 0 renews no lease. */
  readonly leaseUntilMs: number;
  readonly seenUpTo: number;
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: number;
}

/** A worker's report, or why there is none. */
export type WorkerReportAnswer =
  | { readonly outcome: 'view'; readonly view: poolWorker.WorkerReport }
  | { readonly outcome: 'refused' | 'unknown'; readonly reason: string };

/** Calls of an agent to the worker on its machine. None of them throws. */
export interface WorkerApi {
  /** @param workerId - the intended worker; any other refuses the order */
  readonly start: (workerId: string, order: WorkerStart) => Promise<WorkerAnswer>;
  readonly stop: (
    workerId: string,
    order: StopCommand & { readonly fence: number },
  ) => Promise<WorkerAnswer>;
  readonly pace: (
    workerId: string,
    order: PaceCommand & { readonly fence: number },
  ) => Promise<WorkerAnswer>;
  /** @param workerId - undefined if the worker is not known yet */
  readonly view: (
    workerId: string | undefined,
    request: WorkerReportRequest,
  ) => Promise<WorkerReportAnswer>;
}
