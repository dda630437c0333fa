/**
 * Tracks on the agent which runs a worker's incarnation has begun, and remembers how former incarnations ended.
 *
 * The agent is the only one that can tell a crash under a run from a run that never began, a worker that left, and a
 * cut link: it delivers the starts and goes on while the worker restarts.
 */
import * as agentContract from '../../../state/common/pool/agentContract.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';

/** Tracks the runs of the current incarnation, and former incarnations. */
export interface IncarnationHistory {
  /**
   * @param task - name of a task whose start is about to be sent
   * @param run - number of the start
   * @returns records the outcome of the order
   */
  readonly trackStart: (task: string, run: number) => (outcome: agentContract.OrderOutcome) => void;
  /**
   * @param view - a report of the current incarnation
   * @param requestedAtMs - the agent's clock when the report was requested
   */
  readonly recordReport: (view: poolWorker.WorkerReport, requestedAtMs: number) => void;
  /** The current incarnation left a request for its report unanswered. */
  readonly recordSilence: () => void;
  /**
   * @param former - the last information of an incarnation that has ended
   * @returns how it ended
   */
  readonly recordSuccessor: (former: poolWorker.WorkerInfo) => agentContract.FormerIncarnation;
  /** @returns for how long the current incarnation has not answered; undefined while it answers */
  readonly silentForMs: () => number | undefined;
  /** @returns recent former incarnations, the latest last */
  readonly former: () => agentContract.FormerIncarnation[];
}

interface BegunRun {
  readonly task: string;
  readonly run: number;
  /** Undefined where it began before the agent's process. */
  readonly startedAtMs: number | undefined;
  /** When the result of its order was known; undefined while the order is being sent. */
  settledAtMs: number | undefined;
}

interface EndedIncarnation extends Omit<agentContract.FormerIncarnation, 'endedAgoMs'> {
  readonly endedAtMs: number;
}

/** Longer than a change of the leader and a store outage usually take together. */
const RETENTION_MS = 60_000;

/** Limits the size of an update. */
const MAX_FORMER = 4;

const toInterruptedRun = (
  { task, run, startedAtMs }: BegunRun,
  endedAtMs: number,
): agentContract.InterruptedRun =>
  startedAtMs === undefined
    ? { task, run }
    : { task, run, ranMs: Math.max(0, Math.round(endedAtMs - startedAtMs)) };

/**
 * @param nowMs - the agent's monotonic clock
 * @returns a history without incarnations
 */
export const createIncarnationHistory = (nowMs: () => number): IncarnationHistory => {
  let runs = new Map<string, BegunRun>();
  let silentSinceMs: number | undefined;
  let ended: EndedIncarnation[] = [];

  const toFormer = ({ endedAtMs, ...it }: EndedIncarnation): agentContract.FormerIncarnation => ({
    ...it,
    endedAgoMs: Math.round(nowMs() - endedAtMs),
  });

  const removeUnlisted = (listed: ReadonlySet<string>, requestedAtMs: number): void => {
    for (const [key, { settledAtMs = Infinity }] of runs) {
      // A report that was requested earlier may have been made before the run began.
      if (settledAtMs < requestedAtMs && !listed.has(key)) runs.delete(key);
    }
  };

  return {
    trackStart: (task, run) => {
      const key = poolWorker.runKey(task, run);
      const ofIncarnation = runs;
      const wasSilent = silentSinceMs !== undefined;
      const begun: BegunRun = { task, run, startedAtMs: nowMs(), settledAtMs: undefined };
      if (!runs.has(key)) runs.set(key, begun);
      return (outcome) => {
        begun.settledAtMs = nowMs();
        const { refused, unknown } = agentContract.OrderOutcome;
        // An incarnation that was silent before and after the order has most likely ended before it.
        const isSilent = wasSilent && silentSinceMs !== undefined;
        if (outcome === refused || (outcome === unknown && isSilent)) ofIncarnation.delete(key);
      };
    },
    recordReport: (view, requestedAtMs) => {
      silentSinceMs = undefined;
      for (const { task, run } of view.ended) runs.delete(poolWorker.runKey(task, run));
      const listed = new Set(view.running.map(({ task, run }) => poolWorker.runKey(task, run)));
      removeUnlisted(listed, requestedAtMs);
      for (const { task, run } of view.running) {
        const key = poolWorker.runKey(task, run);
        const unknownStart = { task, run, startedAtMs: undefined, settledAtMs: requestedAtMs };
        if (!runs.has(key)) runs.set(key, unknownStart);
      }
    },
    recordSilence: () => {
      silentSinceMs ??= nowMs();
    },
    recordSuccessor: ({ workerId, incarnationMs, state }) => {
      const endedAtMs = silentSinceMs ?? nowMs();
      const incarnation: EndedIncarnation = {
        workerId,
        incarnationMs,
        hasCrashed: state === poolWorker.WorkerState.ready,
        endedAtMs,
        runs: [...runs.values()].map((it) => toInterruptedRun(it, endedAtMs)),
      };
      ended.push(incarnation);
      runs = new Map();
      silentSinceMs = undefined;
      return toFormer(incarnation);
    },
    silentForMs: () =>
      silentSinceMs === undefined ? undefined : Math.round(nowMs() - silentSinceMs),
    former: () => {
      ended = ended.slice(-MAX_FORMER).filter((it) => nowMs() - it.endedAtMs < RETENTION_MS);
      return ended.map(toFormer);
    },
  };
};
