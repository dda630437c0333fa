/**
 * Splits a job's time by cause, along the chain of groups that decided its end.
 */
import type * as jobHistory from './jobHistory.js';
import type * as leaderTerms from './leaderTerms.js';

/** What a job's time went to. */
export const Cause = {
  /** The leader had not heard of it. */
  learnt: 'learnt',
  /** No room, or only room that is kept for others. */
  room: 'room',
  /** Others were told to leave for it. */
  othersLeave: 'othersLeave',
  /** The policy service was asked. */
  consent: 'consent',
  /** Nobody led. */
  leader: 'leader',
  /** Its start was being stored and sent. */
  store: 'store',
  /** The last run of a group, near its data. */
  running: 'running',
  /** The same away from its data or its rack. */
  runningAway: 'runningAway',
  /** Runs that ended before their work was done. */
  begunAgain: 'begunAgain',
  /** A worker had listed an end and the job did not show it. */
  endNotNoted: 'endNotNoted',
} as const;

/** One of the values of {@link Cause}. */
export type Cause = (typeof Cause)[keyof typeof Cause];

/** A span of a job's time with what it went to. */
export interface Segment extends leaderTerms.Span {
  readonly cause: Cause;
  /** The reason as it was logged, or how the run ended. */
  readonly detail: string;
}

const causeOfWait = (reason: string): Cause => {
  if (reason.startsWith('waits for')) return Cause.othersLeave;
  return reason.includes('policy service') ? Cause.consent : Cause.room;
};

/** Cuts out of a span the times at which nobody led, since nothing could be decided then. */
const cutLeaderless = (segment: Segment, leaderless: readonly leaderTerms.Span[]): Segment[] => {
  const parts: Segment[] = [];
  let { fromMs } = segment;
  for (const gap of leaderless) {
    const gapFromMs = Math.max(gap.fromMs, fromMs);
    const gapUntilMs = Math.min(gap.untilMs, segment.untilMs);
    if (gapUntilMs > gapFromMs) {
      if (gapFromMs > fromMs) parts.push({ ...segment, fromMs, untilMs: gapFromMs });
      const { leader } = Cause;
      parts.push({ fromMs: gapFromMs, untilMs: gapUntilMs, cause: leader, detail: 'nobody led' });
      fromMs = gapUntilMs;
    }
  }
  if (segment.untilMs > fromMs) parts.push({ ...segment, fromMs });
  return parts;
};

/**
 * A round follows within this time. The reason is told for the first of a step's tasks only: one that waits
 * longer without a reason waits like the others.
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
      : { cause: Cause.room, detail: 'no room for others of its step' };
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
  const running = run.awayTasks > 0 ? Cause.runningAway : Cause.running;
  return [
    { fromMs: run.placedAtMs, untilMs: startMs, cause: Cause.store, detail: 'stored and sent' },
    {
      fromMs: startMs,
      untilMs: listedMs,
      cause: isDone || run.how === undefined ? running : Cause.begunAgain,
      detail: run.stop?.cause ?? run.how ?? 'runs',
    },
    { fromMs: listedMs, untilMs: endMs, cause: Cause.endNotNoted, detail: 'listed, not stored' },
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

/** The group that ended last of a step, and before it the last of the step that it waited for. */
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
 * @param job - a job's life
 * @param surroundings - what the logs tell besides
 * @returns its time from its acceptance to its end, or to the last line, without gaps
 */
export const splitTime = (
  job: jobHistory.JobHistory,
  surroundings: Pick<jobHistory.Surroundings, 'leaderless' | 'lastAtMs'>,
): Segment[] => {
  const endMs = job.end?.atMs ?? job.cancelledAtMs ?? surroundings.lastAtMs;
  const firstMs = job.acceptedAtMs ?? job.learntAtMs ?? endMs;
  const learntMs = Math.min(endMs, Math.max(firstMs, job.learntAtMs ?? firstMs));
  const parts: Segment[][] = [
    [{ fromMs: firstMs, untilMs: learntMs, cause: Cause.learnt, detail: 'not heard of yet' }],
  ];
  let cursorMs = learntMs;
  const chain = decidingChain(job);
  for (const group of chain) {
    const untilMs = Math.min(endMs, lastEndMs(group));
    parts.push(groupSegments(group, cursorMs, untilMs));
    cursorMs = Math.max(cursorMs, untilMs);
  }
  const rest =
    chain.length === 0
      ? { cause: Cause.learnt, detail: 'never planned' }
      : { cause: Cause.endNotNoted, detail: 'its end was not shown' };
  parts.push([{ fromMs: cursorMs, untilMs: endMs, ...rest }]);
  return parts
    .flat()
    .filter((it) => it.untilMs > it.fromMs)
    .flatMap((it) => cutRunning(it, surroundings.leaderless));
};

/** What runs gets on without a leader. */
const GETS_ON: ReadonlySet<Cause> = new Set([Cause.running, Cause.runningAway, Cause.begunAgain]);

const cutRunning = (segment: Segment, leaderless: readonly leaderTerms.Span[]): Segment[] =>
  GETS_ON.has(segment.cause) ? [segment] : cutLeaderless(segment, leaderless);

/**
 * @param segments - a job's time
 * @returns milliseconds by cause
 */
export const sumByCause = (segments: readonly Segment[]): Map<Cause, number> => {
  const sums = new Map<Cause, number>();
  for (const { cause, fromMs, untilMs } of segments) {
    sums.set(cause, (sums.get(cause) ?? 0) + untilMs - fromMs);
  }
  return sums;
};
