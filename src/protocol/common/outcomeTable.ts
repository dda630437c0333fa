/**
 * What an agent remembers of requests, bounded in memory. The decisions are in
 * {@link requestRecord}; this is the storage with its rules for what is dropped.
 *
 * Dropped, in this order, and why that can't lead to a second run:
 * 1. what has passed its time: no message can start it any more (see `startBeforeMs`);
 * 2. the bytes of the oldest answers, when they exceed the budget: that the request ran stays;
 * 3. nothing else. When the records are full, a new request is refused and did not run; when the
 *    bars are full, a question gets no proof.
 */
import type * as exchange from './exchange.js';
import * as requestRecord from './requestRecord.js';

/** Limits of the table. */
export interface OutcomeLimits {
  /** Requests that run or have ended. */
  readonly maxRecords: number;
  /** Attempts that may not start any more. */
  readonly maxBars: number;
  /** Bytes of kept answers. */
  readonly maxAnswerBytes: number;
}

/** Limits of an agent, whose budget for control is 256 MB: about 64 MB at the most. */
export const DEFAULT_LIMITS: OutcomeLimits = {
  maxRecords: 65_536,
  maxBars: 65_536,
  maxAnswerBytes: 33_554_432,
};

/** Which request and which attempt at it a message is about. */
export interface AttemptHead extends requestRecord.ArrivalHead {
  readonly customerId: string;
  readonly requestId: string;
  readonly attemptId: string;
}

/** A message's arrival, or that there is no room to remember it. */
export type TableArrival = requestRecord.Arrival | { readonly type: 'full' };

/** What the agent remembers. */
export interface OutcomeTable {
  /** Notes a message and says what to do; a request that may run is noted as running. */
  readonly arrive: (head: AttemptHead, nowMs: number) => TableArrival;
  /** Notes how a running request ended. */
  readonly end: (head: AttemptHead, outcome: requestRecord.Outcome, nowMs: number) => void;
  readonly sizes: () => TableSizes;
}

/** How full the table is. */
export interface TableSizes {
  readonly records: number;
  readonly bars: number;
  readonly answerBytes: number;
}

/** What expires is looked for by whole seconds, so that one message costs a constant time. */
const BUCKET_MS = 1000;

/** Buckets that one message looks through at the most. */
const MAX_BUCKETS_SWEPT = 64;

interface Buckets {
  readonly add: (id: string, atMs: number) => void;
  readonly takeDue: (nowMs: number) => readonly string[];
}

const createBuckets = (): Buckets => {
  const buckets = new Map<number, string[]>();
  let swept: number | undefined;
  return {
    add: (id, atMs) => {
      const index = Math.max(Math.ceil(atMs / BUCKET_MS), (swept ?? -Infinity) + 1);
      const bucket = buckets.get(index) ?? [];
      bucket.push(id);
      buckets.set(index, bucket);
    },
    takeDue: (nowMs) => {
      const last = Math.floor(nowMs / BUCKET_MS) - 1;
      const first = swept ?? last - MAX_BUCKETS_SWEPT;
      const due: string[] = [];
      const until = Math.min(last, first + MAX_BUCKETS_SWEPT);
      for (let index = first + 1; index <= until; index += 1) {
        due.push(...(buckets.get(index) ?? []));
        buckets.delete(index);
      }
      swept = Math.max(first, until);
      return due;
    },
  };
};

/**
 * @param head - which request
 * @returns the key; customers can't see each other's requests, since the customer is part of it
 */
export const keyOf = (head: Pick<AttemptHead, 'customerId' | 'requestId'>): string =>
  `${head.customerId}/${head.requestId}`;

/** Ids hold no blanks, so that a blank keeps the two parts apart. */
const barOf = (head: AttemptHead): string => `${keyOf(head)} ${head.attemptId}`;

const bytesOf = (outcome: requestRecord.Outcome | undefined): number =>
  outcome?.type === 'answer' ? outcome.answer.body.byteLength : 0;

const isRefusal = (outcome: requestRecord.Outcome): boolean =>
  outcome.type === 'error' && outcome.error.ran === 'no';

/**
 * @param bootId - the agent's boot, which the table lives no longer than
 * @param limits - limits of the table
 * @returns a table without records
 */
export const createOutcomeTable = (
  bootId: string,
  limits: OutcomeLimits = DEFAULT_LIMITS,
): OutcomeTable => {
  const records = new Map<string, requestRecord.RequestRecord>();
  const bars = new Map<string, number>();
  const recordTimes = createBuckets();
  const barTimes = createBuckets();
  /** Keys of ends with bytes, oldest first. */
  const kept = new Map<string, number>();
  let answerBytes = 0;

  const forgetBytes = (key: string): void => {
    answerBytes -= kept.get(key) ?? 0;
    kept.delete(key);
  };
  const expire = (nowMs: number): void => {
    for (const key of recordTimes.takeDue(nowMs)) {
      const record = records.get(key);
      if (record?.type === 'ended' && record.untilMs < nowMs) {
        records.delete(key);
        forgetBytes(key);
      }
    }
    for (const id of barTimes.takeDue(nowMs)) {
      if ((bars.get(id) ?? Infinity) < nowMs) bars.delete(id);
    }
  };
  const bar = (head: AttemptHead): boolean => {
    if (bars.size >= limits.maxBars) return false;
    bars.set(barOf(head), head.startBeforeMs);
    barTimes.add(barOf(head), head.startBeforeMs);
    return true;
  };
  const trim = (): void => {
    for (const key of kept.keys()) {
      if (answerBytes <= limits.maxAnswerBytes) return;
      const record = records.get(key);
      if (record?.type === 'ended') records.set(key, { ...record, outcome: undefined });
      forgetBytes(key);
    }
  };
  const settleOrRun = (
    head: AttemptHead,
    step: requestRecord.ArrivalStep,
    mode: exchange.ExchangeMode,
  ): TableArrival => {
    if (step.barsAttempt && !bar(head)) return { type: 'unknowable' };
    if (mode === 'run' && step.arrival.type === 'run') {
      if (records.size >= limits.maxRecords) {
        bar(head);
        return { type: 'full' };
      }
      records.set(keyOf(head), { type: 'running', startBeforeMs: head.startBeforeMs });
    }
    return step.arrival;
  };
  return {
    arrive: (head, nowMs) => {
      expire(nowMs);
      const isBarred = bars.has(barOf(head));
      const step = requestRecord.meet(records.get(keyOf(head)), isBarred, head, { bootId, nowMs });
      return settleOrRun(head, step, head.mode);
    },
    end: (head, outcome, nowMs) => {
      const key = keyOf(head);
      if (isRefusal(outcome)) {
        // The same request may come again when there is room, but not as this attempt. At the limit
        // of bars only a copied message could profit, and the transport makes no copies.
        records.delete(key);
        bar(head);
        return;
      }
      const untilMs = requestRecord.keepEndUntilMs(head.startBeforeMs, nowMs);
      records.set(key, { type: 'ended', outcome, untilMs });
      recordTimes.add(key, untilMs);
      if (bytesOf(outcome) === 0) return;
      kept.set(key, bytesOf(outcome));
      answerBytes += bytesOf(outcome);
      trim();
    },
    sizes: () => ({ records: records.size, bars: bars.size, answerBytes }),
  };
};
