/**
 * Handles submits, cancellations and status requests of jobs, at any entry and without the leader. A job is
 * accepted once its record is stored, on the condition that the configuration by which the call was admitted
 * is still the active one.
 *
 * Guards against a lost answer of the store: the same write is retried, which changes nothing if the first
 * attempt took effect. If it remains unknown whether the job is stored, the answer is `outcomeUnknown` and
 * never a refusal, since a delayed duplicate of the write may still take effect.
 */
import * as clock from '../../../base/common/clock.js';
import type * as disposable from '../../../base/common/disposable.js';
import * as errors from '../../../base/common/errors.js';
import type * as logging from '../../../base/common/logging.js';
import type * as metrics from '../../../base/common/metrics.js';
import * as poolConfiguration from '../../../state/common/pool/poolConfiguration.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolKeys from '../../../state/common/pool/poolKeys.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import type * as recordStore from '../../../state/common/pool/recordStore.js';
import * as store from '../../../state/common/store.js';
import * as jobChecks from '../../common/pool/jobChecks.js';

import type * as configurationFeed from './configurationFeed.js';

/** Dependencies of the request handler. */
export interface JobRequestHandlerOptions {
  readonly store: recordStore.RecordStore;
  readonly clock: clock.Clock;
  readonly log: logging.Log;
  readonly metrics: metrics.Metrics;
  readonly feed: configurationFeed.ConfigurationFeed;
  /** Key of the record that holds the configuration. */
  readonly configurationKey: string;
  /** Time since anything was last received from the store, including part of an answer. */
  readonly storeAgeMs: () => number;
  /** A revoked credential must be refused this long after its revocation. */
  readonly revokeMs: number;
  /** Largest value that the store takes. */
  readonly maxValueBytes: number;
}

/** Properties of every call. */
export interface Call {
  /** Identifies the call in the log. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits for the answer, in milliseconds from now. */
  readonly deadlineMs: number;
}

/** The job that a caller submits. */
export interface JobDraft {
  readonly payload: string;
  readonly steps: readonly poolJob.Step[];
  readonly schedule: poolJob.Schedule | undefined;
}

/** A call whose queue and customer have been determined. */
export interface AdmittedCall {
  readonly queue: poolConfiguration.Queue;
  readonly customerId: string;
  /** The path after the queue's prefix: a job's id, or empty. */
  readonly jobId: string;
  /** Revision of the configuration by which the call was admitted. */
  readonly configurationRevision: number;
}

/** Handles requests about jobs. Each method throws the error that is sent to the caller. */
export interface JobRequestHandler {
  /** Whether the configuration was confirmed as current recently enough to check credentials by it. */
  readonly canCheckCredentials: () => boolean;
  /** @throws AuburnliftError `storeUnavailable` if no job can be stored now */
  readonly checkStore: () => void;
  /** @throws AuburnliftError `notFound`, `unauthenticated` or `staleConfiguration` */
  readonly admit: (call: Call) => AdmittedCall;
  readonly submit: (call: Call, admitted: AdmittedCall, draft: JobDraft) => Promise<void>;
  readonly cancel: (call: Call, admitted: AdmittedCall) => Promise<void>;
  readonly state: (call: Call, admitted: AdmittedCall) => Promise<poolJob.PoolJobState>;
}

/**
 * Credentials are no longer accepted once the configuration has not been confirmed as current for this share of
 * `revokeMs`; the rest is left for handling the call.
 */
const FRESH_SHARE = 0.7;

/**
 * If the configuration was confirmed longer ago, no caller is told that a queue or a credential does not exist: a
 * later configuration, which has to be active soon after it is stored, may contain it.
 */
const MAX_DENIAL_AGE_MS = 2000;

/** Part of the caller's deadline reserved for returning the answer. */
const ANSWER_RESERVE_MS = 250;

/**
 * Longest time that a call waits while the store does not answer, enough for two attempts. A caller refused then
 * can retry at another entry, which may reach the store, with most of its time left.
 */
const MAX_WAIT_MS = 900;

/** Delay before a failed store call is retried. */
const RETRY_MS = 60;

/** With less time left, no further attempt is made: the store is two inter-region delays away. */
const MIN_ATTEMPT_MS = 200;

/** A store that sent nothing for this long counts as unreachable: calls are refused without an attempt. */
const STORE_LOST_MS = 2000;

/** Retry delay sent to callers that are refused because of the store; outages last seconds. */
const RETRY_AFTER_MS = 1000;

/** How often a call is admitted again because the configuration changed meanwhile. */
const MAX_READMISSIONS = 4;

const unavailable = (message: string): errors.AuburnliftError =>
  errors.fail('storeUnavailable', `${message}; nothing ran`, { retryAfterMs: RETRY_AFTER_MS });

const unresolved = (): errors.AuburnliftError =>
  errors.fail('outcomeUnknown', 'the store did not answer; the outcome is unknown');

const tooLarge = (): errors.AuburnliftError =>
  errors.fail('tooLarge', 'the store does not take a record of this size; nothing ran', {
    field: 'body',
  });

const gone = (): errors.AuburnliftError => errors.fail('gone', 'no such job', { field: 'jobId' });

/**
 * @param options - its dependencies
 * @returns the request handler
 */
export const createJobRequestHandler = (options: JobRequestHandlerOptions): JobRequestHandler => {
  const { clock: time, feed, log, metrics } = options;

  const maxTasks = poolJob.maxTasksPerJob(options.maxValueBytes);
  const canCheckCredentials = (): boolean => feed.ageMs() <= options.revokeMs * FRESH_SHARE;
  const agoText = (ageMs: number): string => `${Math.round(ageMs)} ms ago`;
  const unconfirmed = (what: string): errors.AuburnliftError =>
    unavailable(
      `${what} can not be checked: the configuration was confirmed ${agoText(feed.ageMs())}, ` +
        `the store last answered ${agoText(options.storeAgeMs())}`,
    );
  const checkRecentlyConfirmed = (what: string): void => {
    if (feed.ageMs() > MAX_DENIAL_AGE_MS) throw unconfirmed(what);
  };

  const admit = (call: Call): AdmittedCall => {
    const active = feed.current();
    if (active === undefined) throw unavailable('no configuration is known yet');
    const queue = poolConfiguration.findQueue(active.configuration, call.host, call.path);
    if (queue === undefined) {
      checkRecentlyConfirmed('queues');
      throw errors.fail('notFound', `no queue at ${call.host}${call.path}; nothing ran`, {
        field: 'path',
      });
    }
    const jobId = call.path.slice(queue.pathPrefix.length);
    const base = { queue, jobId, configurationRevision: active.revision };
    if (queue.isPublic) return { ...base, customerId: '' };
    if (!canCheckCredentials()) {
      throw unconfirmed('credentials');
    }
    const customer =
      call.apiKey === undefined
        ? undefined
        : poolConfiguration.findCustomer(active.configuration, call.apiKey);
    if (customer === undefined) {
      if (call.apiKey !== undefined) checkRecentlyConfirmed('credentials');
      throw errors.fail('unauthenticated', 'the API key is missing or unknown; nothing ran');
    }
    return { ...base, customerId: customer.customerId };
  };

  const endOf = (call: Call): number =>
    time.monotonicMs() + Math.min(MAX_WAIT_MS, Math.max(0, call.deadlineMs - ANSWER_RESERVE_MS));

  const isDeadlineNear = (endMs: number): boolean => time.monotonicMs() + MIN_ATTEMPT_MS >= endMs;

  /** Stops waiting at the deadline; the store call itself goes on until its own time-out. */
  const withDeadline = async <T>(endMs: number, attempt: Promise<T>): Promise<T> => {
    let timer: disposable.Disposable | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = time.after(Math.max(0, endMs - time.monotonicMs()), () => {
        reject(new store.StoreOutcomeUnknown('no answer before the deadline of the caller'));
      });
    });
    try {
      return await Promise.race([attempt, late]);
    } finally {
      void timer?.dispose();
    }
  };

  const logFailure = (call: Call, thrown: unknown, isOutcomeUnknown: boolean): void => {
    const { message } = errors.normalize(thrown);
    log('warn', 'storeCallFailed', {
      request: call.requestId,
      isOpen: isOutcomeUnknown,
      reason: message,
    });
  };

  const checkStore = (): void => {
    if (options.storeAgeMs() > STORE_LOST_MS) throw unavailable('the store is unreachable');
  };

  /** Retries a transaction until it is answered or the deadline has passed. */
  const transact = async (
    call: Call,
    endMs: number,
    transaction: recordStore.Transaction,
  ): Promise<recordStore.TransactionResult> => {
    checkStore();
    let isOpen = false;
    for (;;) {
      try {
        return await withDeadline(endMs, options.store.transact(transaction));
      } catch (thrown) {
        if (thrown instanceof store.StoreRefused) throw tooLarge();
        isOpen ||= thrown instanceof store.StoreOutcomeUnknown;
        logFailure(call, thrown, isOpen);
        if (isDeadlineNear(endMs)) throw isOpen ? unresolved() : unavailable('the write failed');
      }
      await clock.sleep(time, RETRY_MS);
    }
  };

  const read = async <T>(
    call: Call,
    endMs: number,
    attempt: () => Promise<T>,
    onFailure = (): Error => unavailable('the store does not answer'),
  ): Promise<T> => {
    for (;;) {
      try {
        return await withDeadline(endMs, attempt());
      } catch (thrown) {
        logFailure(call, thrown, false);
        if (isDeadlineNear(endMs)) throw onFailure();
      }
      await clock.sleep(time, RETRY_MS);
    }
  };

  /** Waits for the feed to receive the change; a read for each call would saturate a low-bandwidth link. */
  const waitForLaterConfiguration = async (revision: number, endMs: number): Promise<void> => {
    while ((feed.current()?.revision ?? 0) <= revision) {
      if (time.monotonicMs() >= endMs) {
        throw unavailable('a new configuration has not been received yet');
      }
      await clock.sleep(time, RETRY_MS);
    }
  };

  /** Writes a record unless it exists, as long as the active configuration allows the call. */
  const writeOnce = async (
    call: Call,
    endMs: number,
    admitted: AdmittedCall,
    key: string,
    valueOf: (admitted: AdmittedCall) => string,
  ): Promise<'written' | 'exists'> => {
    let current = admitted;
    for (let tries = 0; tries < MAX_READMISSIONS; tries += 1) {
      const result = await transact(call, endMs, {
        conditions: [
          { key, revision: store.ABSENT_REVISION },
          { key: options.configurationKey, revision: current.configurationRevision },
        ],
        puts: [{ key, value: valueOf(current) }],
        removes: [],
        omitsCurrent: true,
      });
      if (result.isCommitted) return 'written';
      // The record may exist because an earlier attempt of this call took effect and its answer was lost.
      const existing = await read(call, endMs, () => options.store.get(key), unresolved);
      if (existing !== undefined) return 'exists';
      await waitForLaterConfiguration(current.configurationRevision, endMs);
      current = admit(call);
      log('info', 'judgedAnew', {
        request: call.requestId,
        configRevision: current.configurationRevision,
      });
    }
    throw unavailable('the configuration changes too often');
  };

  const submit: JobRequestHandler['submit'] = async (call, admitted, draft) => {
    jobChecks.checkJob(draft, maxTasks);
    const startedAtMs = time.monotonicMs();
    const { jobId } = admitted;
    const key = poolKeys.jobKey(jobId, poolKeys.JobPart.spec);
    const outcome = await writeOnce(call, endOf(call), admitted, key, ({ queue, customerId }) => {
      const job: poolJob.PoolJob = {
        jobId,
        customerId,
        payload: draft.payload,
        steps: draft.steps,
        ...(draft.schedule === undefined ? {} : { schedule: draft.schedule }),
        acceptedAtMs: Math.round(time.wallMs()),
        policy: queue.policy,
      };
      return JSON.stringify(job);
    });
    metrics.time('auburnlift_submit_ms', time.monotonicMs() - startedAtMs, { outcome });
    log('info', 'jobAccepted', {
      request: call.requestId,
      job: jobId,
      queue: admitted.queue.policy.queue,
      customer: admitted.customerId,
      outcome,
      configRevision: admitted.configurationRevision,
    });
  };

  /** The parts of the job's records that entries write; empty if the job was never submitted. */
  const findRecords = (
    call: Call,
    endMs: number,
    admitted: AdmittedCall,
  ): Promise<ReadonlySet<string>> => {
    const prefix = poolKeys.jobPrefix(admitted.jobId);
    return read(call, endMs, async () => {
      const { entries } = await options.store.list(prefix);
      return new Set(entries.map((it) => it.key.slice(prefix.length)));
    });
  };

  const cancel: JobRequestHandler['cancel'] = async (call, admitted) => {
    const endMs = endOf(call);
    const records = await findRecords(call, endMs, admitted);
    if (!records.has(poolKeys.JobPart.spec)) throw gone();
    const key = poolKeys.jobKey(admitted.jobId, poolKeys.JobPart.cancel);
    const outcome = records.has(poolKeys.JobPart.cancel)
      ? 'exists'
      : await writeOnce(call, endMs, admitted, key, () =>
          JSON.stringify({ cancelledAtMs: Math.round(time.wallMs()) }),
        );
    log('info', 'jobCancelled', { request: call.requestId, job: admitted.jobId, outcome });
  };

  const state: JobRequestHandler['state'] = async (call, admitted) => {
    const endMs = endOf(call);
    const progress = await read(call, endMs, () =>
      options.store.get(poolKeys.progressKey(admitted.jobId)),
    );
    if (progress !== undefined) return progressRecord.decodeProgress(progress.value).state;
    const records = await findRecords(call, endMs, admitted);
    if (!records.has(poolKeys.JobPart.spec)) throw gone();
    return records.has(poolKeys.JobPart.cancel)
      ? poolJob.PoolJobState.cancelled
      : poolJob.PoolJobState.queued;
  };

  return { canCheckCredentials, checkStore, admit, submit, cancel, state };
};
