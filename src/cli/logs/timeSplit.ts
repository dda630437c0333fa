/**
 * Splits a job's time by cause, along the chain of groups that decided its end.
 */
import type * as jobHistory from './jobHistory.js';
import type * as leaderTerms from './leaderTerms.js';

/** Causes by which a job's time is split. */
export const Cause = {
  /** The leader had not received the job or not planned it yet. */
  learnt: 'learnt',
  /** No free capacity, or only capacity reserved for others. */
  room: 'room',
  /** Preemption victims had been asked to terminate. */
  othersLeave: 'othersLeave',
  /** The policy service's decision was pending. */
  consent: 'consent',
  /** There was no leader. */
  leader: 'leader',
  /** The start was being stored and sent to the worker. */
  store: 'store',
  /** The last run of a group, local to its data. */
  running: 'running',
  /** The last run of a group, remote from its data or outside its rack. */
  runningAway: 'runningAway',
  /** What the last run of a group took longer since its slowest worker is slower than the pool's mean. */
  runningSlow: 'runningSlow',
  /** Runs that ended before their work was done and were restarted. */
  begunAgain: 'begunAgain',
  /** A worker had listed the end and the leader had not recorded it yet. */
  endNotNoted: 'endNotNoted',
} as const;

/** One of the values of {@link Cause}. */
export type Cause = (typeof Cause)[keyof typeof Cause];

/** A span of a job's time with its cause. */
export interface Segment extends leaderTerms.Span {
  readonly cause: Cause;
  /** The logged wait reason, or how the run ended. */
  readonly detail: string;
}

const causeOfWait = (reason: string): Cause => {
  if (reason.startsWith('waits for')) return Cause.othersLeave;
  return reason.includes('policy service') ? Cause.consent : Cause.room;
};

/** Attributes the parts of a span without a leader to its absence, since nothing could be decided then. */
const splitLeaderless = (segment: Segment, leaderless: readonly leaderTerms.Span[]): Segment[] => {
  const parts: Segment[] = [];
  let { fromMs } = segment;
  for (const gap of leaderless) {
    const gapFromMs = Math.max(gap.fromMs, fromMs);
    const gapUntilMs = Math.min(gap.untilMs, segment.untilMs);
    if (gapUntilMs > gapFromMs) {
      if (gapFromMs > fromMs) parts.push({ ...segment, fromMs, untilMs: gapFromMs });
      const { leader } = Cause;
      parts.push({ fromMs: gapFromMs, untilMs: gapUntilMs, cause: leader, detail: 'no leader' });
      fromMs = gapUntilMs;
    }
  }
  if (segment.untilMs > fromMs) parts.push({ ...segment, fromMs });
  return parts;
};

/**
 * A planning round follows within this time. The wait reason is logged for the first task of a step only, so a
 * task that waits longer without a reason is counted as waiting for capacity.
 */
const PLANNED_WITHIN_MS = 50;

const waitSegments = (
  fromMs: number,
  untilMs: number,
  waits: readonly jobHistory.WaitReason[],
): Segment[] => {
  const segments: Segment[] = [];
  let cursorMs = fromMs;
  const firstMs = waits[0]?.atMs ?? untilMs;
  let current: Pick<Segment, 'cause' | 'detail'> =
    firstMs - fromMs <= PLANNED_WITHIN_MS
      ? { cause: Cause.learnt, detail: 'not planned yet' }
      : { cause: Cause.room, detail: 'no capacity for other tasks of its step' };
  for (const { atMs, reason } of waits) {
    const nextMs = Math.min(untilMs, Math.max(cursorMs, atMs));
    segments.push({ fromMs: cursorMs, untilMs: nextMs, ...current });
    cursorMs = nextMs;
    current = { cause: causeOfWait(reason), detail: reason };
  }
  segments.push({ fromMs: cursorMs, untilMs, ...current });
  return segments;
};

const runSegments = (run: jobHistory.GroupRun, endMs: number): Segment[] => {
  const startMs = Math.min(endMs, Math.max(run.placedAtMs, run.startedAtMs ?? run.placedAtMs));
  const isDone = run.how === 'done';
  const listedMs = isDone ? Math.min(endMs, Math.max(startMs, run.listedAtMs ?? endMs)) : endMs;
  const running = run.remoteTasks > 0 ? Cause.runningAway : Cause.running;
  const slowFromMs = isDone ? startMs + (listedMs - startMs) / run.speedFactor : listedMs;
  return [
    { fromMs: run.placedAtMs, untilMs: startMs, cause: Cause.store, detail: 'stored and sent' },
    {
      fromMs: startMs,
      untilMs: slowFromMs,
      cause: isDone || run.how === undefined ? running : Cause.begunAgain,
      detail: run.stop?.cause ?? run.how ?? 'runs',
    },
    {
      fromMs: slowFromMs,
      untilMs: listedMs,
      cause: Cause.runningSlow,
      detail: `worker of factor ${run.speedFactor}`,
    },
    {
      fromMs: listedMs,
      untilMs: endMs,
      cause: Cause.endNotNoted,
      detail: 'listed, not recorded yet',
    },
  ];
};

const groupSegments = (group: jobHistory.GroupHistory, fromMs: number, untilMs: number) => {
  const parts: Segment[][] = [];
  let cursorMs = fromMs;
  group.runs.forEach((run, index) => {
    const next = group.runs[index + 1];
    const endMs = Math.min(untilMs, run.endedAtMs ?? next?.placedAtMs ?? untilMs);
    parts.push(waitSegments(cursorMs, Math.max(cursorMs, run.placedAtMs), run.waits));
    parts.push(runSegments(run, Math.max(run.placedAtMs, endMs)));
    cursorMs = Math.max(cursorMs, endMs);
  });
  const isOver = group.runs.at(-1)?.how === 'done';
  if (!isOver) parts.push(waitSegments(cursorMs, untilMs, group.openWaits));
  return parts.flat();
};

const lastEndMs = ({ runs }: jobHistory.GroupHistory): number => runs.at(-1)?.endedAtMs ?? Infinity;

/** Chains the last group to end back through the last group of each step that it had to wait for. */
const decidingChain = (job: jobHistory.JobHistory): jobHistory.GroupHistory[] => {
  const lastOfStep = new Map<number, jobHistory.GroupHistory>();
  for (const group of job.groups.values()) {
    const known = lastOfStep.get(group.step);
    if (known === undefined || lastEndMs(group) > lastEndMs(known)) {
      lastOfStep.set(group.step, group);
    }
  }
  const latestFirst = [...lastOfStep.values()].sort((a, b) => lastEndMs(b) - lastEndMs(a));
  const chain: jobHistory.GroupHistory[] = [];
  let beforeMs = Infinity;
  for (const group of latestFirst) {
    const firstMs = group.runs[0]?.waits[0]?.atMs ?? group.runs[0]?.placedAtMs ?? Infinity;
    const endsBefore = chain.length === 0 || lastEndMs(group) <= beforeMs;
    if (endsBefore) {
      chain.unshift(group);
      beforeMs = firstMs;
    }
  }
  return chain;
};

/**
 * @param job - a job's history
 * @param logContext - leader terms and the end of the log
 * @returns its time from acceptance to its end or the last log line, without gaps
 */
export const splitTime = (
  job: jobHistory.JobHistory,
  logContext: Pick<jobHistory.LogContext, 'leaderless' | 'lastAtMs'>,
): Segment[] => {
  const endMs = job.end?.atMs ?? job.cancelledAtMs ?? logContext.lastAtMs;
  const firstMs = job.acceptedAtMs ?? job.receivedAtMs ?? endMs;
  const receivedMs = Math.min(endMs, Math.max(firstMs, job.receivedAtMs ?? firstMs));
  const parts: Segment[][] = [
    [
      {
        fromMs: firstMs,
        untilMs: receivedMs,
        cause: Cause.learnt,
        detail: 'not received by the leader yet',
      },
    ],
  ];
  let cursorMs = receivedMs;
  const chain = decidingChain(job);
  for (const group of chain) {
    const untilMs = Math.min(endMs, lastEndMs(group));
    parts.push(groupSegments(group, cursorMs, untilMs));
    cursorMs = Math.max(cursorMs, untilMs);
  }
  const remainder =
    chain.length === 0
      ? { cause: Cause.learnt, detail: 'never planned' }
      : { cause: Cause.endNotNoted, detail: 'end not recorded' };
  parts.push([{ fromMs: cursorMs, untilMs: endMs, ...remainder }]);
  return parts
    .flat()
    .filter((it) => it.untilMs > it.fromMs)
    .flatMap((it) => splitUnlessRunning(it, logContext.leaderless));
};

/** Runs make progress without a leader. */
const LEADER_INDEPENDENT: ReadonlySet<Cause> = new Set([
  Cause.running,
  Cause.runningAway,
  Cause.runningSlow,
  Cause.begunAgain,
]);

const splitUnlessRunning = (
  segment: Segment,
  leaderless: readonly leaderTerms.Span[],
): Segment[] =>
  LEADER_INDEPENDENT.has(segment.cause) ? [segment] : splitLeaderless(segment, leaderless);

/**
 * @param segments - a job's time split by cause
 * @returns milliseconds by cause
 */
export const sumByCause = (segments: readonly Segment[]): Map<Cause, number> => {
  const sums = new Map<Cause, number>();
  for (const { cause, fromMs, untilMs } of segments) {
    sums.set(cause, (sums.get(cause) ?? 0) + untilMs - fromMs);
  }
  return sums;
};
