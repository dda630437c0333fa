/**
 * An agent's in-memory records of requests, with bounded size. The decisions are in
 * {@link requestRecord}; this module stores the records and evicts them.
 *
 * What is evicted, and why that can't lead to a second run:
 * 1. expired records: no message can start the request any more (see `startBeforeMs`);
 * 2. the oldest answers, if they exceed the byte budget: the record that the request ran remains;
 * 3. nothing else. If the records are full, a new request is rejected without running; if the
 *    tombstones are full, a settle message gets no proof.
 */
import type * as exchange from './exchange.js';
import * as requestRecord from './requestRecord.js';

/** Limits of the table. */
export interface OutcomeLimits {
  /** Running and ended requests. */
  readonly maxRecords: number;
  /** Attempts that may no longer start. */
  readonly maxTombstones: number;
  /** Bytes of retained answers. */
  readonly maxAnswerBytes: number;
}

/** About 64 MB at most, of an agent's control-plane memory budget of 256 MB. */
export const DEFAULT_LIMITS: OutcomeLimits = {
  maxRecords: 65_536,
  maxTombstones: 65_536,
  maxAnswerBytes: 33_554_432,
};

/** The request and the attempt that a message refers to. */
export interface AttemptHeader extends requestRecord.MessageHeader {
  readonly customerId: string;
  readonly requestId: string;
  readonly attemptId: string;
}

/** How to handle a message, or that the table is full. */
export type TableArrival = requestRecord.Arrival | { readonly type: 'full' };

/** An agent's records of requests. */
export interface OutcomeTable {
  /** Decides how to handle a message; a request that may run is recorded as running. */
  readonly handle: (header: AttemptHeader, nowMs: number) => TableArrival;
  /** Records the outcome of a running request. */
  readonly end: (header: AttemptHeader, outcome: requestRecord.Outcome, nowMs: number) => void;
  readonly sizes: () => TableSizes;
}

/** Current sizes of the table. */
export interface TableSizes {
  readonly records: number;
  readonly tombstones: number;
  readonly answerBytes: number;
}

/** Expiry works in buckets of one second, so that each message costs constant time. */
const BUCKET_MS = 1000;

/** Most buckets that one message scans. */
const MAX_BUCKETS_SWEPT = 64;

interface ExpiryBuckets {
  readonly add: (id: string, atMs: number) => void;
  readonly takeExpired: (nowMs: number) => readonly string[];
}

const createExpiryBuckets = (): ExpiryBuckets => {
  const buckets = new Map<number, string[]>();
  let lastSwept: number | undefined;
  return {
    add: (id, atMs) => {
      const index = Math.max(Math.ceil(atMs / BUCKET_MS), (lastSwept ?? -Infinity) + 1);
      const bucket = buckets.get(index) ?? [];
      bucket.push(id);
      buckets.set(index, bucket);
    },
    takeExpired: (nowMs) => {
      const last = Math.floor(nowMs / BUCKET_MS) - 1;
      const first = lastSwept ?? last - MAX_BUCKETS_SWEPT;
      const expired: string[] = [];
      const until = Math.min(last, first + MAX_BUCKETS_SWEPT);
      for (let index = first + 1; index <= until; index += 1) {
        expired.push(...(buckets.get(index) ?? []));
        buckets.delete(index);
      }
      lastSwept = Math.max(first, until);
      return expired;
    },
  };
};

/**
 * @param header - the request
 * @returns the key; it includes the customer, so customers can't see each other's requests
 */
export const keyOf = (header: Pick<AttemptHeader, 'customerId' | 'requestId'>): string =>
  `${header.customerId}/${header.requestId}`;

/** Ids contain no spaces, so a space separates the two parts. */
const tombstoneKey = (header: AttemptHeader): string => `${keyOf(header)} ${header.attemptId}`;

const bytesOf = (outcome: requestRecord.Outcome | undefined): number =>
  outcome?.type === 'answer' ? outcome.answer.body.byteLength : 0;

const isRejection = (outcome: requestRecord.Outcome): boolean =>
  outcome.type === 'error' && outcome.error.ran === 'no';

/**
 * @param bootId - the agent's boot; the table does not outlive it
 * @param limits - limits of the table
 * @returns a table without records
 */
export const createOutcomeTable = (
  bootId: string,
  limits: OutcomeLimits = DEFAULT_LIMITS,
): OutcomeTable => {
  const records = new Map<string, requestRecord.RequestRecord>();
  const tombstones = new Map<string, number>();
  const recordExpiry = createExpiryBuckets();
  const tombstoneExpiry = createExpiryBuckets();
  /** Sizes of retained answers by request key, oldest first. */
  const answerSizes = new Map<string, number>();
  let answerBytes = 0;

  const dropAnswer = (key: string): void => {
    answerBytes -= answerSizes.get(key) ?? 0;
    answerSizes.delete(key);
  };
  const expire = (nowMs: number): void => {
    for (const key of recordExpiry.takeExpired(nowMs)) {
      const record = records.get(key);
      if (record?.type === 'ended' && record.untilMs < nowMs) {
        records.delete(key);
        dropAnswer(key);
      }
    }
    for (const id of tombstoneExpiry.takeExpired(nowMs)) {
      if ((tombstones.get(id) ?? Infinity) < nowMs) tombstones.delete(id);
    }
  };
  const addTombstone = (header: AttemptHeader): boolean => {
    if (tombstones.size >= limits.maxTombstones) return false;
    tombstones.set(tombstoneKey(header), header.startBeforeMs);
    tombstoneExpiry.add(tombstoneKey(header), header.startBeforeMs);
    return true;
  };
  const evictAnswers = (): void => {
    for (const key of answerSizes.keys()) {
      if (answerBytes <= limits.maxAnswerBytes) return;
      const record = records.get(key);
      if (record?.type === 'ended') records.set(key, { ...record, outcome: undefined });
      dropAnswer(key);
    }
  };
  const applyArrival = (
    header: AttemptHeader,
    step: requestRecord.ArrivalStep,
    mode: exchange.ExchangeMode,
  ): TableArrival => {
    if (step.addsTombstone && !addTombstone(header)) return { type: 'unknowable' };
    if (mode === 'run' && step.arrival.type === 'run') {
      if (records.size >= limits.maxRecords) {
        addTombstone(header);
        return { type: 'full' };
      }
      records.set(keyOf(header), { type: 'running', startBeforeMs: header.startBeforeMs });
    }
    return step.arrival;
  };
  return {
    handle: (header, nowMs) => {
      expire(nowMs);
      const isTombstoned = tombstones.has(tombstoneKey(header));
      const step = requestRecord.decideArrival(records.get(keyOf(header)), isTombstoned, header, {
        bootId,
        nowMs,
      });
      return applyArrival(header, step, header.mode);
    },
    end: (header, outcome, nowMs) => {
      const key = keyOf(header);
      if (isRejection(outcome)) {
        // The request may be retried later, but not by this attempt. If the tombstones are full,
        // only a duplicated message could run again, and the transport duplicates none.
        records.delete(key);
        addTombstone(header);
        return;
      }
      const untilMs = requestRecord.outcomeExpiryMs(header.startBeforeMs, nowMs);
      records.set(key, { type: 'ended', outcome, untilMs });
      recordExpiry.add(key, untilMs);
      if (bytesOf(outcome) === 0) return;
      answerSizes.set(key, bytesOf(outcome));
      answerBytes += bytesOf(outcome);
      evictAnswers();
    },
    sizes: () => ({ records: records.size, tombstones: tombstones.size, answerBytes }),
  };
};
