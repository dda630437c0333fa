/**
 * Where a task may start while a delayed copy of one of its start orders may still arrive.
 *
 * Guards against a task that runs twice: a worker that answers refuses the copy, but if it crashes, its new incarnation has
 * seen no fence and executes it. A run on the same worker has ended with the crash; a run on another worker would continue
 * beside the copy, or be done and acknowledged before the copy starts the task again.
 */
import type * as clock from '../../../base/common/clock.js';
import * as poolJob from '../../../state/common/pool/poolJob.js';
import * as poolWorker from '../../../state/common/pool/poolWorker.js';
import * as progressRecord from '../../../state/common/pool/progressRecord.js';
import * as delayedOrders from './delayedOrders.js';
import * as jobState from './jobState.js';
import type * as planTypes from './planTypes.js';
import * as workerSuspicion from './workerSuspicion.js';
import * as workerTable from './workerTable.js';

/** Workers by agent. */
type Workers = ReadonlyMap<string, workerTable.WorkerEntry>;

/** Kinds of {@link StartPlace}. */
export const StartPlaceKind = {
  /** No copy may arrive that an incarnation would execute. */
  anywhere: 'anywhere',
  /** Only the worker that a copy may reach. */
  onWorker: 'onWorker',
  /** That worker can't take the task, or several workers may execute a copy. */
  nowhere: 'nowhere',
} as const;

/** Where a task may start. */
export type StartPlace =
  | { readonly kind: typeof StartPlaceKind.anywhere }
  | { readonly kind: typeof StartPlaceKind.onWorker; readonly workerId: string }
  | { readonly kind: typeof StartPlaceKind.nowhere };

/** A worker answers its agent at least every 0.9 s; after this time without a report it may have crashed. */
const MAX_SILENCE_MS = 1500;

/** No incarnation executes an order to a worker that has another id by now or has shut down. */
const isVoid = (
  worker: workerTable.WorkerEntry | undefined,
  order: delayedOrders.OpenOrder,
): boolean => {
  const info = worker?.info;
  if (info === undefined) return false;
  return info.workerId !== order.workerId || info.state === poolWorker.WorkerState.gone;
};

const hasJustAnswered = (
  worker: workerTable.WorkerEntry | undefined,
  nowMs: number,
): worker is workerTable.WorkerEntry => {
  const { info, sample } = worker ?? {};
  if (info === undefined) return false;
  return sample?.incarnationMs === info.incarnationMs && nowMs - sample.atMs <= MAX_SILENCE_MS;
};

/**
 * @param workers - workers by agent
 * @param orders - open orders of a task
 * @param now - the leader's clocks
 * @returns for how much longer one of them may start the task; 0 where every worker refuses them now
 */
export const delayedStartMs = (
  workers: Workers,
  orders: readonly delayedOrders.OpenOrder[],
  now: clock.ClockReadings,
): number =>
  delayedOrders.remainingMs(orders, now, (order) => {
    const worker = workers.get(order.agentId);
    return isVoid(worker, order) || hasJustAnswered(worker, now.monotonicMs);
  });

/** Open orders of a task of which an incarnation may execute a copy. */
const bindingOrders = (
  workers: Workers,
  { openOrders }: Pick<jobState.TaskEntry, 'openOrders'>,
  now: clock.ClockReadings,
): delayedOrders.OpenOrder[] =>
  openOrders.filter(
    (it) => delayedOrders.remainingMs([it], now) > 0 && !isVoid(workers.get(it.agentId), it),
  );

/**
 * @param workers - workers by agent
 * @param task - a task
 * @param now - the leader's clocks
 * @returns for how much longer it may not start on every worker
 */
export const boundMs = (
  workers: Workers,
  task: Pick<jobState.TaskEntry, 'openOrders'>,
  now: clock.ClockReadings,
): number => delayedOrders.remainingMs(bindingOrders(workers, task, now), now);

/**
 * @param workers - workers by agent
 * @param task - a waiting task
 * @param now - the leader's clocks
 * @returns where it may start now
 */
export const startPlaceOf = (
  workers: Workers,
  task: Pick<jobState.TaskEntry, 'openOrders' | 'avoidedWorkerIds'>,
  now: clock.ClockReadings,
): StartPlace => {
  const [order, ...others] = bindingOrders(workers, task, now);
  if (order === undefined) return { kind: StartPlaceKind.anywhere };
  const worker = workers.get(order.agentId);
  const canTakeIt =
    others.length === 0 &&
    !task.avoidedWorkerIds.includes(order.workerId) &&
    hasJustAnswered(worker, now.monotonicMs) &&
    workerTable.acceptsTasks(worker) &&
    !workerSuspicion.isSuspect(worker.suspicion, now.monotonicMs);
  return canTakeIt
    ? { kind: StartPlaceKind.onWorker, workerId: order.workerId }
    : { kind: StartPlaceKind.nowhere };
};

/**
 * @param workers - workers by agent
 * @param tasks - tasks that run together
 * @param now - the leader's clocks
 * @returns whether one of them may not start on every worker
 */
export const isBound = (
  workers: Workers,
  tasks: readonly jobState.TaskEntry[],
  now: clock.ClockReadings,
): boolean => tasks.some((task) => boundMs(workers, task, now) > 0);

/**
 * @param workers - workers by agent
 * @param unit - a unit that is ready
 * @param now - the leader's clocks
 * @returns the unit with the workers that its tasks are bound to; undefined where it may start nowhere now
 */
export const bindUnit = (
  workers: Workers,
  unit: planTypes.PlanUnit,
  now: clock.ClockReadings,
): planTypes.PlanUnit | undefined => {
  if (!isBound(workers, unit.unit.tasks, now)) return unit;
  const places = unit.unit.tasks.map((task) => startPlaceOf(workers, task, now));
  if (places.some(({ kind }) => kind === StartPlaceKind.nowhere)) return undefined;
  const boundWorkerIds = places.map((place) =>
    place.kind === StartPlaceKind.onWorker ? place.workerId : undefined,
  );
  return { ...unit, boundWorkerIds };
};

/** Inputs of {@link holdRetryRooms}. */
export interface RetryRoomsInput {
  readonly workers: Workers;
  readonly entries: Iterable<jobState.JobEntry>;
  /** Workers of the round; their free capacity is reduced. */
  readonly planWorkers: readonly planTypes.PlanWorker[];
  /** Units that the round places: they need no room held for them. */
  readonly units: readonly planTypes.PlanUnit[];
  readonly now: clock.ClockReadings;
}

/** Tasks of a job that wait for their retry: a start of them, or of their gang, was not accepted. */
const tasksToRetry = (entry: jobState.JobEntry): jobState.TaskEntry[] =>
  jobState
    .tasksOf(entry)
    .filter(
      (task) =>
        task.openOrders.length > 0 &&
        task.phase === progressRecord.TaskPhase.waiting &&
        jobState.groupOf(entry, task).some(({ refusals }) => refusals > 0),
    );

const takeRoom = (worker: planTypes.PlanWorker, step: poolJob.Step): void => {
  const room = poolJob.consumedResources(step);
  if (poolJob.countFittingTasks(worker.free, room) === 0) return;
  worker.free = poolJob.addResources(worker.free, room, -1);
};

/**
 * Holds the room of retries that back off, or whose gang has members left to stop. Without it another task takes the
 * room, and the retry waits until no copy of its order can arrive any more.
 *
 * @param input - the round and the jobs
 */
export const holdRetryRooms = (input: RetryRoomsInput): void => {
  const { workers, planWorkers, now } = input;
  const inRound = new Set(input.units.flatMap(({ unit }) => unit.tasks));
  for (const entry of input.entries) {
    if (entry.isCancelled || jobState.isEnded(entry)) continue;
    for (const task of tasksToRetry(entry).filter((it) => !inRound.has(it))) {
      const place = startPlaceOf(workers, task, now);
      const worker =
        place.kind === StartPlaceKind.onWorker
          ? planWorkers.find(({ workerId }) => workerId === place.workerId)
          : undefined;
      const step = entry.job.steps[task.step];
      if (worker !== undefined && step !== undefined) takeRoom(worker, step);
    }
  }
};
