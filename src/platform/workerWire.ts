/**
 * Decodes a worker's heartbeats and reports of runs into the product's types. Input that can't be
 * decoded, perhaps because another program sent it, yields `undefined`.
 */
import * as Schema from 'effect/Schema';

import * as schemaIssues from '../base/common/schemaIssues.js';
import type * as poolAgent from '../coordination/node/pool/poolAgent.js';
import type * as poolJob from '../state/common/pool/poolJob.js';
import type * as poolWorker from '../state/common/pool/poolWorker.js';

const Count = Schema.Number.check(
  Schema.makeFilter((value: number) => Number.isSafeInteger(value) && value >= 0, {
    expected: 'an integer of at least 0',
  }),
);

const Capacity = Schema.Struct({
  /** Thousandths of a core. */
  cpu: Schema.optionalKey(Count),
  mem_mb: Schema.optionalKey(Count),
  gpu: Schema.optionalKey(Count),
});

const HeartbeatBody = Schema.Struct({
  /** Service of the worker. */
  backend: Schema.String,
  addr: Schema.String,
  zone: Schema.String,
  state: Schema.Literals(['ready', 'draining']),
  capacity: Schema.optionalKey(Capacity),
  /** The worker's kind and then its rack. */
  labels: Schema.optionalKey(Schema.Array(Schema.String)),
  machine: Schema.optionalKey(Schema.String),
  seq: Count,
  /** Unix milliseconds of the worker's start. */
  born: Schema.optionalKey(Count),
  remaining_ms: Schema.optionalKey(Count),
});

/** [task, run, saved, percent, load] */
const RunningRow = Schema.Array(Schema.Union([Schema.String, Schema.Number]));

/** [N, task, run, how, saved] */
const EndedRow = Schema.Array(Schema.Union([Schema.String, Schema.Number]));

const ViewBody = Schema.Struct({
  clock_ms: Count,
  born: Schema.optionalKey(Count),
  running: Schema.optionalKey(Schema.Array(RunningRow)),
  ended: Schema.optionalKey(Schema.Array(EndedRow)),
});

const END_KINDS: readonly string[] = ['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone'];

/** Ends that a worker lists at a time, at most. */
const MAX_LISTED_ENDS = 500;

/** Index of the rack in the labels, after the worker's kind. */
const RACK_INDEX = 1;

const toResources = (capacity: typeof Capacity.Type | undefined): poolJob.Resources => ({
  cpuMillicores: capacity?.cpu ?? 0,
  memoryMb: capacity?.mem_mb ?? 0,
  accelerators: capacity?.gpu ?? 0,
});

const parseJson = (body: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8')) as unknown;
  } catch {
    // Perhaps sent by another program; the caller counts and logs unreadable input.
    return undefined;
  }
};

/**
 * @param workerId - the id in the path of the call
 * @param body - body of the call
 * @returns the heartbeat, or undefined if it can't be decoded
 */
export const decodeHeartbeat = (
  workerId: string,
  body: Uint8Array,
): poolAgent.Heartbeat | undefined => {
  const decoded = schemaIssues.decode(HeartbeatBody, parseJson(body), schemaIssues.Excess.ignore);
  if (!decoded.isValid || workerId === '') return undefined;
  const { value } = decoded;
  const rack = value.labels?.[RACK_INDEX];
  return {
    sequence: value.seq,
    info: {
      workerId,
      incarnationMs: value.born ?? 0,
      service: value.backend,
      zone: value.zone,
      state: value.state,
      capacity: toResources(value.capacity),
      labels: value.labels ?? [],
      ...(rack === undefined ? {} : { rack }),
      ...(value.machine === undefined ? {} : { machineId: value.machine }),
      ...(value.remaining_ms === undefined ? {} : { remainingMs: value.remaining_ms }),
    },
  };
};

const toRunning = (row: readonly (string | number)[]): poolWorker.RunningTask | undefined => {
  const [task, run, saved, percent, loadFigure] = row;
  if (typeof task !== 'string' || typeof run !== 'number') return undefined;
  return {
    task,
    run,
    saved: typeof saved === 'string' ? saved : '',
    percent: typeof percent === 'number' ? percent : 0,
    ...(typeof loadFigure === 'number' ? { loadFigure } : {}),
  };
};

const toEnded = (row: readonly (string | number)[]): poolWorker.EndedRun | undefined => {
  const [sequence, task, run, how, saved] = row;
  const isReadable =
    typeof sequence === 'number' &&
    typeof task === 'string' &&
    typeof run === 'number' &&
    typeof how === 'string' &&
    END_KINDS.includes(how);
  if (!isReadable) return undefined;
  return {
    sequence,
    task,
    run,
    how: how as poolWorker.EndKind,
    saved: typeof saved === 'string' ? saved : '',
  };
};

/**
 * @param body - a worker's answer to a request for its runs
 * @returns the report, or undefined if any part of it can't be decoded: with a partial report, the
 *   missing runs would count as gone
 */
export const decodeReport = (body: Uint8Array): poolWorker.WorkerReport | undefined => {
  const decoded = schemaIssues.decode(ViewBody, parseJson(body), schemaIssues.Excess.ignore);
  if (!decoded.isValid) return undefined;
  const { value } = decoded;
  const running = (value.running ?? []).map(toRunning);
  const ended = (value.ended ?? []).map(toEnded);
  if (running.includes(undefined) || ended.includes(undefined)) return undefined;
  return {
    incarnationMs: value.born ?? 0,
    clockMs: value.clock_ms,
    running: running.filter((it) => it !== undefined),
    ended: ended.filter((it) => it !== undefined).sort((a, b) => a.sequence - b.sequence),
    ...(ended.length < MAX_LISTED_ENDS ? {} : { mayOmitEnds: true }),
  };
};
